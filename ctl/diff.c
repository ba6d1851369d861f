#include "ctl/diff.h"

#include "ctl/report.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MAX_TABLE_CELLS = 16 * 1024 * 1024, /* of lcs_lengths */
  MAX_LINES = UINT16_MAX,             /* so that lengths fit in a cell */
  MAX_PRINTED_LINES = 200
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

/* Two texts under comparison, without their common first and last lines.  */
typedef struct comparison
{
  TALLOC_CTX *memory;
  diff_part_t part;
  diff_t *diff;
  text_lines_t older;
  text_lines_t newer;
  size_t start;       /* number of common first lines */
  size_t older_count; /* of lines without the common ones */
  size_t newer_count;
  /* Table of older_count + 1 rows and newer_count + 1 columns: length of the
     longest common subsequence (LCS) of the lines from that row and that
     column on.  NULL for texts that differ too much.  */
  uint16_t *lcs_lengths;
} comparison_t;

/* Split TEXT into LINES without their line ends; the last line may lack
   one.  */
static void
text_lines_split (TALLOC_CTX *parent, const char *text, text_lines_t *lines)
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
comparison_lines_equal (const comparison_t *comparison, size_t older,
                        size_t newer)
{
  return strcmp (comparison->older.lines[older].text,
                 comparison->newer.lines[newer].text)
         == 0;
}

/* Exclude the common first and last lines from the comparison.  */
static void
comparison_trim (comparison_t *comparison)
{
  size_t start = 0;
  size_t older = comparison->older.count;
  size_t newer = comparison->newer.count;

  while (start < older && start < newer
         && comparison_lines_equal (comparison, start, start))
    start++;
  while (older > start && newer > start
         && comparison_lines_equal (comparison, older - 1, newer - 1))
    {
      older--;
      newer--;
    }
  comparison->start = start;
  comparison->older_count = older - start;
  comparison->newer_count = newer - start;
}

static uint16_t *
comparison_length (const comparison_t *comparison, size_t older, size_t newer)
{
  return &comparison
              ->lcs_lengths[older * (comparison->newer_count + 1) + newer];
}

/* Fill lcs_lengths from the end.  It stays NULL when the table would be too
   large; every line then counts as changed.  */
static void
comparison_fill_lengths (comparison_t *comparison)
{
  size_t rows = comparison->older_count + 1;
  size_t columns = comparison->newer_count + 1;

  if (rows > MAX_LINES || columns > MAX_LINES
      || rows * columns > MAX_TABLE_CELLS)
    return;
  comparison->lcs_lengths
      = talloc_zero_array (comparison->memory, uint16_t, rows * columns);
  for (size_t i = comparison->older_count; i-- > 0;)
    {
      for (size_t j = comparison->newer_count; j-- > 0;)
        {
          uint16_t below = *comparison_length (comparison, i + 1, j);
          uint16_t right = *comparison_length (comparison, i, j + 1);
          uint16_t length = below > right ? below : right;

          if (comparison_lines_equal (comparison, comparison->start + i,
                                      comparison->start + j))
            length = *comparison_length (comparison, i + 1, j + 1) + 1;
          *comparison_length (comparison, i, j) = length;
        }
    }
}

/* Add the line at INDEX of the newer text (IS_ADDED) or the older one.  */
static void
comparison_add_line (comparison_t *comparison, bool is_added, size_t index)
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

/* Return whether the next difference is the removal of the line at OLDER
   rather than the addition of the line at NEWER.  */
static bool
comparison_removes_next (const comparison_t *comparison, size_t older,
                         size_t newer)
{
  if (older == comparison->older_count)
    return false;
  if (newer == comparison->newer_count || comparison->lcs_lengths == NULL)
    return true;
  return *comparison_length (comparison, older + 1, newer)
         >= *comparison_length (comparison, older, newer + 1);
}

/* Add the differences to the diff, in the order of the lines.  */
static void
comparison_add_lines (comparison_t *comparison)
{
  size_t older = 0;
  size_t newer = 0;

  while (older < comparison->older_count || newer < comparison->newer_count)
    {
      if (comparison->lcs_lengths != NULL && older < comparison->older_count
          && newer < comparison->newer_count
          && comparison_lines_equal (comparison, comparison->start + older,
                                     comparison->start + newer))
        {
          older++;
          newer++;
        }
      else if (comparison_removes_next (comparison, older, newer))
        comparison_add_line (comparison, false, older++);
      else
        comparison_add_line (comparison, true, newer++);
    }
}

/* Append the lines in which the texts OLDER and NEWER differ to DIFF, as lines
   of PART.  The lines are owned by PARENT.  */
void
diff_text (TALLOC_CTX *parent, diff_part_t part, const char *older,
           const char *newer, diff_t *diff)
{
  comparison_t comparison = { .memory = parent, .part = part, .diff = diff };

  text_lines_split (parent, older, &comparison.older);
  text_lines_split (parent, newer, &comparison.newer);
  comparison_trim (&comparison);
  comparison_fill_lengths (&comparison);
  comparison_add_lines (&comparison);
  talloc_free (comparison.lcs_lengths);
}

/* Return the marks of PARTS as text, one a line.  */
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

/* Initialise DIFF and fill it with the differences from OLDER to NEWER.  The
   lines are owned by PARENT.  */
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

/* Append the number of added and removed lines of PART to SUMMARY.  */
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

/* Return a one-line summary of DIFF, owned by PARENT: the numbers of changed
   lines of rules and inventory, and the changed marks.  It is stored in the
   change history.  */
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

/* Print the first MAX_PRINTED_LINES lines of DIFF, and put all of them under
   KEY of the JSON result.  */
void
diff_report (ctl_t *ctl, const char *key, const diff_t *diff)
{
  json_t *list = json_array ();
  const diff_line_t *line;
  unsigned count = 0;

  STAILQ_FOREACH (line, diff, link)
    {
      if (count++ < MAX_PRINTED_LINES)
        report_line (ctl, "%c %s:%u: %s", line->is_added ? '+' : '-',
                     part_names[line->part], line->line, line->text);
      json_array_append_new (
          list, json_pack ("{s:s,s:b,s:i,s:s}", "part", part_names[line->part],
                           "added", (int)line->is_added, "line",
                           (int)line->line, "text", line->text));
    }
  if (count > MAX_PRINTED_LINES)
    report_line (ctl, "... and %u more lines", count - MAX_PRINTED_LINES);
  report_json_set (ctl, key, list);
}
