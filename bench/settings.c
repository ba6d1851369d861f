/* What a settings document costs at growing sizes.

   bench-settings  */

#include "common/settings.h"
#include "kernel/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REPEATS = 20,
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

static void
measure (unsigned accounts, unsigned upstreams, unsigned entries)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  clock_source_t *clock = clock_create_system (memory);
  settings_parts_t *parts = settings_parts_create (memory);
  struct timespec start;
  settings_t *settings = NULL;
  char *document;
  int64_t best_us = INT64_MAX;

  parts->revision = 1;
  parts->rules = make_rules (memory, accounts);
  parts->inventory = make_inventory (memory, upstreams, entries);
  document = settings_parts_format (memory, parts);
  for (unsigned i = 0; i < REPEATS; i++)
    {
      int64_t took_us;

      if (settings != NULL)
        settings_release (settings);
      start = clock_monotonic (clock);
      if (settings_from_document (document, strlen (document), &settings)
          != STATUS_OK)
        {
          fprintf (stderr, "%s\n", status_message ());
          exit (EXIT_FAILURE);
        }
      took_us = timespec_to_us (
          timespec_subtract (clock_monotonic (clock), start));
      if (took_us < best_us)
        best_us = took_us;
    }
  printf ("accounts=%u upstreams=%u entries=%u document=%zu B "
          "parsed in %lld us, holds %zu KiB\n",
          accounts, upstreams, entries, strlen (document), (long long)best_us,
          talloc_total_size (settings) / 1024);
  settings_release (settings);
  talloc_free (memory);
}

int
main (void)
{
  measure (10, 15, 3);
  measure (200, 170, 100);
  measure (405, 340, 205);
  measure (810, 680, 410);
  return EXIT_SUCCESS;
}
