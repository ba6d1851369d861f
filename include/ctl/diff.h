#ifndef SISKIN_CTL_DIFF_H
#define SISKIN_CTL_DIFF_H

#include "ctl/command.h"

typedef enum diff_part
{
  DIFF_RULES,
  DIFF_INVENTORY,
  DIFF_MARKS /* zones taken out of service and draining upstreams */
} diff_part_t;

/* A line that only the older or only the newer side has.  */
typedef struct diff_line
{
  STAILQ_ENTRY (diff_line) link;
  diff_part_t part;
  bool is_added; /* present on the newer side only */
  unsigned line; /* line number in the text that has it, from 1 */
  const char *text;
} diff_line_t;

STAILQ_HEAD (diff, diff_line);
typedef struct diff diff_t;

void diff_text (TALLOC_CTX *parent, diff_part_t part, const char *older,
                const char *newer, diff_t *diff);
void diff_parts (TALLOC_CTX *parent, const settings_parts_t *older,
                 const settings_parts_t *newer, diff_t *diff);
/* Return a short description of DIFF for the change history.  */
char *diff_summarise (TALLOC_CTX *parent, const diff_t *diff);
/* Print DIFF, and put it under KEY of the JSON result.  */
void diff_report (ctl_t *ctl, const char *key, const diff_t *diff);

#endif
