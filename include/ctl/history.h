#ifndef SISKIN_CTL_HISTORY_H
#define SISKIN_CTL_HISTORY_H

#include "ctl/command.h"

/* Entry of the change history: the change that created REVISION.  */
typedef struct change
{
  STAILQ_ENTRY (change) link;
  uint64_t revision;
  const char *id; /* random change id */
  const char *who;
  const char *when; /* in UTC, ISO 8601 */
  const char *why;
  const char *what; /* summary of the differences */
} change_t;

STAILQ_HEAD (change_list, change);
typedef struct change_list change_list_t;

enum
{
  MAX_HISTORY_ENTRIES = 2000,   /* in the store; older ones are deleted */
  MAX_ARCHIVED_DOCUMENTS = 200, /* superseded revisions kept in full */
  HISTORY_KEY_BYTES = 64
};

/* Write the store key of REVISION under PREFIX into KEY.  PREFIX is
   STORE_PREFIX_HISTORY for its entry in the change history or
   STORE_PREFIX_DOCUMENTS for its archived document.  */
void history_key (char key[HISTORY_KEY_BYTES], const char *prefix,
                  uint64_t revision);
change_t *history_change_create (TALLOC_CTX *parent,
                                 const settings_parts_t *parts,
                                 const char *what);
char *history_format (TALLOC_CTX *parent, const change_t *change);
change_t *history_parse (TALLOC_CTX *parent, const char *text);
json_t *history_json (const change_t *change);
int history_read (ctl_t *ctl, uint64_t limit, change_list_t *changes);
int history_find (ctl_t *ctl, uint64_t revision, change_t **change);

#endif
