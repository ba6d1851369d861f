#ifndef SISKIN_COMMON_TOML_H
#define SISKIN_COMMON_TOML_H

#include "kernel/findings.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum toml_kind
  {
    TOML_TABLE,
    TOML_ARRAY,
    TOML_STRING,
    TOML_INTEGER,
    TOML_REAL,
    TOML_BOOLEAN,
    TOML_OTHER /* dates and times; no setting uses them */
  } toml_kind_t;

  TAILQ_HEAD (toml_list, toml_node);

  /* A parsed value with its location in the file.  */
  typedef struct toml_node
  {
    TAILQ_ENTRY (toml_node) link;
    toml_kind_t kind;
    const char *key; /* NULL in an array */
    unsigned line;
    unsigned column;
    struct toml_list children; /* members of a table or an array */
    const char *string;
    int64_t integer;
    double real;
    bool boolean;
    bool is_read; /* set by schema_read; an unread node is an unknown key */
  } toml_node_t;

  toml_node_t *toml_parse (TALLOC_CTX *parent, const char *text, size_t size,
                           const char *file, findings_t *findings);

#ifdef __cplusplus
}
#endif

#endif
