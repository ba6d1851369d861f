/* Measures the parse time and the memory of settings documents of increasing
   size.

   bench-settings  */

#include "common/settings.h"
#include "kernel/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RUN_COUNT = 20,
  ZONES = 4
};

static char *
make_rules (TALLOC_CTX *memory, unsigned accounts)
{
  char *text = talloc_strdup (memory, "[site]\nname = \"bench\"\n");

  for (unsigned i = 0; i < ZONES; i++)
    text = talloc_asprintf_append_buffer (
        text, "[[zone]]\nname = \"zone-%u\"\nregion = \"r-%u\"\n", i, i / 2);
  for (unsigned i = 0; i < accounts; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "[[account]]\nname = \"account-%u\"\npriority = %u\nshare = %u\n", i,
        i % 3, 1 + i % 10);
  return talloc_strdup_append_buffer (
      text, "[[service]]\nname = \"style\"\nkind = \"model\"\n"
            "path = \"/v1/\"\n");
}

static char *
make_inventory (TALLOC_CTX *memory, unsigned upstreams, unsigned entries)
{
  char *text = talloc_strdup (
      memory, "name,address,zone,kind,service,model,group,rank\n");

  for (unsigned i = 0; i < upstreams; i++)
    text = talloc_asprintf_append_buffer (
        text, "style-%u,10.%u.%u.%u:7000,zone-%u,model,style,model-%u,,\n", i,
        i % ZONES, i / 250, i % 250, i % ZONES, i % 14);
  for (unsigned i = 0; i < entries; i++)
    text = talloc_asprintf_append_buffer (
        text, "entry-%u,10.9.%u.%u:8080,zone-%u,entry,,,,\n", i, i / 250,
        i % 250, i % ZONES);
  return text;
}

/* Print the size of a document, the shortest of RUN_COUNT parse times, and the
   memory of the parsed settings.  */
static void
measure_document (unsigned accounts, unsigned upstreams, unsigned entries)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  clock_source_t *clock = clock_create_system (memory);
  settings_parts_t *parts = settings_parts_create (memory);
  struct timespec start;
  settings_t *settings = NULL;
  char *document;
  int64_t min_us = INT64_MAX;

  parts->revision = 1;
  parts->rules = make_rules (memory, accounts);
  parts->inventory = make_inventory (memory, upstreams, entries);
  document = settings_parts_format (memory, parts);
  for (unsigned i = 0; i < RUN_COUNT; i++)
    {
      int64_t elapsed_us;

      if (settings != NULL)
        settings_release (settings);
      start = clock_monotonic (clock);
      if (settings_from_document (document, strlen (document), &settings)
          != STATUS_OK)
        {
          fprintf (stderr, "%s\n", status_message ());
          exit (EXIT_FAILURE);
        }
      elapsed_us = timespec_to_us (
          timespec_subtract (clock_monotonic (clock), start));
      if (elapsed_us < min_us)
        min_us = elapsed_us;
    }
  printf ("accounts=%u upstreams=%u entries=%u document=%zu B "
          "parsed in %lld us, %zu KiB in memory\n",
          accounts, upstreams, entries, strlen (document), (long long)min_us,
          talloc_total_size (settings) / 1024);
  settings_release (settings);
  talloc_free (memory);
}

int
main (void)
{
  measure_document (10, 15, 3);
  measure_document (200, 170, 100);
  measure_document (405, 340, 205);
  measure_document (810, 680, 410);
  return EXIT_SUCCESS;
}
