#include "ctl/diff.h"

#include "ctl/report.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MAX_CELLS = 16 * 1024 * 1024, /* of the table of common lengths */
  MAX_LINES = UINT16_MAX,
  MAX_PRINTED = 200
};

static const char *const part_names[] = {
  [DIFF_RULES] = "rules",
  [DIFF_INVENTORY] = "inventory",
  [DIFF_MARKS] = "marks",
};

typedef struct text_line
{
  const char *text;
} text_line_t;

typedef struct text_lines
{
  text_line_t *lines;
  size_t count;
} text_lines_t;

/* The lines of two texts between their common start and end.  */
typedef struct comparison
{
  TALLOC_CTX *memory;
  diff_part_t part;
  diff_t *diff;
  text_lines_t older;
  text_lines_t newer;
  size_t start;
  size_t older_count;
  size_t newer_count;
  uint16_t *lengths; /* longest common subsequence of the rests */
} comparison_t;

static void
lines_cut (TALLOC_CTX *parent, const char *text, text_lines_t *lines)
{
  size_t capacity = 2;
  char *rest = talloc_strdup (parent, text);
  char *line;

  for (const char *at = text; *at != '\0'; at++)
    capacity += *at == '\n';
  lines->lines = talloc_array (parent, text_line_t, capacity);
  lines->count = 0;
  while ((line = strsep (&rest, "\n")) != NULL)
    {
      line[strcspn (line, "\r")] = '\0';
      lines->lines[lines->count++].text = line;
    }
  if (lines->count > 0 && lines->lines[lines->count - 1].text[0] == '\0')
    lines->count--;
}

static bool
comparison_same (const comparison_t *comparison, size_t older, size_t newer)
{
  return strcmp (comparison->older.lines[older].text,
                 comparison->newer.lines[newer].text)
         == 0;
}

static void
comparison_trim (comparison_t *comparison)
{
  size_t start = 0;
  size_t older = comparison->older.count;
  size_t newer = comparison->newer.count;

  while (start < older && start < newer
         && comparison_same (comparison, start, start))
    start++;
  while (older > start && newer > start
         && comparison_same (comparison, older - 1, newer - 1))
    {
      older--;
      newer--;
    }
  comparison->start = start;
  comparison->older_count = older - start;
  comparison->newer_count = newer - start;
}

static uint16_t *
comparison_cell (const comparison_t *comparison, size_t older, size_t newer)
{
  return &comparison->lengths[older * (comparison->newer_count + 1) + newer];
}

/* Fill the table from the end.  Without a table, for texts that differ too
   much, every line counts as changed.  */
static void
comparison_measure (comparison_t *comparison)
{
  size_t rows = comparison->older_count + 1;
  size_t columns = comparison->newer_count + 1;

  if (rows > MAX_LINES || columns > MAX_LINES || rows * columns > MAX_CELLS)
    return;
  comparison->lengths
      = talloc_zero_array (comparison->memory, uint16_t, rows * columns);
  for (size_t i = comparison->older_count; i-- > 0;)
    {
      for (size_t j = comparison->newer_count; j-- > 0;)
        {
          uint16_t below = *comparison_cell (comparison, i + 1, j);
          uint16_t right = *comparison_cell (comparison, i, j + 1);
          uint16_t length = below > right ? below : right;

          if (comparison_same (comparison, comparison->start + i,
                               comparison->start + j))
            length = *comparison_cell (comparison, i + 1, j + 1) + 1;
          *comparison_cell (comparison, i, j) = length;
        }
    }
}

static void
comparison_add (comparison_t *comparison, bool is_added, size_t index)
{
  const text_lines_t *lines
      = is_added ? &comparison->newer : &comparison->older;
  diff_line_t *line = talloc_zero (comparison->memory, diff_line_t);

  line->part = comparison->part;
  line->is_added = is_added;
  line->line = (unsigned)(comparison->start + index + 1);
  line->text = lines->lines[comparison->start + index].text;
  STAILQ_INSERT_TAIL (comparison->diff, line, link);
}

/* Whether the line at OLDER goes rather than the one at NEWER comes.  */
static bool
comparison_drops (const comparison_t *comparison, size_t older, size_t newer)
{
  if (older == comparison->older_count)
    return false;
  if (newer == comparison->newer_count || comparison->lengths == NULL)
    return true;
  return *comparison_cell (comparison, older + 1, newer)
         >= *comparison_cell (comparison, older, newer + 1);
}

static void
comparison_walk (comparison_t *comparison)
{
  size_t older = 0;
  size_t newer = 0;

  while (older < comparison->older_count || newer < comparison->newer_count)
    {
      if (comparison->lengths != NULL && older < comparison->older_count
          && newer < comparison->newer_count
          && comparison_same (comparison, comparison->start + older,
                              comparison->start + newer))
        {
          older++;
          newer++;
        }
      else if (comparison_drops (comparison, older, newer))
        comparison_add (comparison, false, older++);
      else
        comparison_add (comparison, true, newer++);
    }
}

/* Append to DIFF the lines in which OLDER and NEWER differ, as PART.  The
   lines belong to PARENT.  */
void
diff_text (TALLOC_CTX *parent, diff_part_t part, const char *older,
           const char *newer, diff_t *diff)
{
  comparison_t comparison = { .memory = parent, .part = part, .diff = diff };

  lines_cut (parent, older, &comparison.older);
  lines_cut (parent, newer, &comparison.newer);
  comparison_trim (&comparison);
  comparison_measure (&comparison);
  comparison_walk (&comparison);
  talloc_free (comparison.lengths);
}

static char *
marks_text (TALLOC_CTX *parent, const settings_parts_t *parts)
{
  char *text = talloc_strdup (parent, "");
  const schema_string_t *name;

  STAILQ_FOREACH (name, &parts->zones_out, link)
    text
        = talloc_asprintf_append_buffer (text, "zone %s is out\n", name->text);
  STAILQ_FOREACH (name, &parts->draining, link)
    text = talloc_asprintf_append_buffer (text, "upstream %s is draining\n",
                                          name->text);
  return text;
}

/* Fill DIFF with what turns OLDER into NEWER.  */
void
diff_parts (TALLOC_CTX *parent, const settings_parts_t *older,
            const settings_parts_t *newer, diff_t *diff)
{
  STAILQ_INIT (diff);
  diff_text (parent, DIFF_RULES, older->rules, newer->rules, diff);
  diff_text (parent, DIFF_INVENTORY, older->inventory, newer->inventory, diff);
  diff_text (parent, DIFF_MARKS, marks_text (parent, older),
             marks_text (parent, newer), diff);
}

static char *
summarise_part (char *summary, const diff_t *diff, diff_part_t part)
{
  unsigned added = 0;
  unsigned removed = 0;
  const diff_line_t *line;

  STAILQ_FOREACH (line, diff, link)
    {
      if (line->part != part)
        continue;
      added += line->is_added;
      removed += !line->is_added;
    }
  if (added + removed == 0)
    return summary;
  return talloc_asprintf_append_buffer (summary, "%s%s +%u -%u",
                                        summary[0] == '\0' ? "" : "; ",
                                        part_names[part], added, removed);
}

/* Return a line that says what DIFF changes: counts of lines for the files,
   the marks themselves.  */
char *
diff_summarise (TALLOC_CTX *parent, const diff_t *diff)
{
  char *summary = talloc_strdup (parent, "");
  const diff_line_t *line;

  summary = summarise_part (summary, diff, DIFF_RULES);
  summary = summarise_part (summary, diff, DIFF_INVENTORY);
  STAILQ_FOREACH (line, diff, link)
    {
      if (line->part == DIFF_MARKS)
        summary = talloc_asprintf_append_buffer (
            summary, "%s%s%s", summary[0] == '\0' ? "" : "; ",
            line->is_added ? "" : "no longer: ", line->text);
    }
  return summary[0] == '\0' ? talloc_strdup (parent, "nothing") : summary;
}

/* Print DIFF, or put it under KEY.  */
void
diff_report (ctl_t *ctl, const char *key, const diff_t *diff)
{
  json_t *list = json_array ();
  const diff_line_t *line;
  unsigned count = 0;

  STAILQ_FOREACH (line, diff, link)
    {
      if (count++ < MAX_PRINTED)
        report_line (ctl, "%c %s:%u: %s", line->is_added ? '+' : '-',
                     part_names[line->part], line->line, line->text);
      json_array_append_new (
          list, json_pack ("{s:s,s:b,s:i,s:s}", "part", part_names[line->part],
                           "added", (int)line->is_added, "line",
                           (int)line->line, "text", line->text));
    }
  if (count > MAX_PRINTED)
    report_line (ctl, "... and %u more lines", count - MAX_PRINTED);
  report_set (ctl, key, list);
}
