#ifndef SISKIN_COMMON_SCHEMA_H
#define SISKIN_COMMON_SCHEMA_H

#include "common/toml.h"
#include "kernel/findings.h"

#include <stdbool.h>
#include <stddef.h>

typedef enum schema_kind
{
  SCHEMA_END,
  SCHEMA_STRING,   /* const char * */
  SCHEMA_INTEGER,  /* int64_t */
  SCHEMA_REAL,     /* double */
  SCHEMA_BOOLEAN,  /* bool */
  SCHEMA_DURATION, /* struct timespec, from "250 ms", "1.8 s", "7 d" */
  SCHEMA_BYTES,    /* int64_t, from "64 KiB", "1 MiB" */
  SCHEMA_STRINGS,  /* schema_strings_t */
  SCHEMA_TABLE,    /* its fields are read into the same object */
  SCHEMA_TABLES    /* an array of tables; APPEND creates an object for each */
} schema_kind_t;

typedef struct schema_string
{
  STAILQ_ENTRY (schema_string) link;
  const char *text;
  unsigned line;
  unsigned column;
} schema_string_t;

STAILQ_HEAD (schema_strings, schema_string);
typedef struct schema_strings schema_strings_t;

/* A key of a TOML table and the member that its value is read into.  MINIMUM
   and MAXIMUM limit numbers, durations (in ms) and sizes (in bytes); without
   limits both are 0.  */
typedef struct schema_field schema_field_t;
struct schema_field
{
  const char *key;
  schema_kind_t kind;
  size_t offset; /* offset of the member in the object that is read */
  bool is_required;
  double minimum;
  double maximum;
  const schema_field_t *fields; /* keys of a SCHEMA_TABLE or SCHEMA_TABLES */
  /* Create the object that a table of a SCHEMA_TABLES is read into and add it
     to OWNER.  The table starts at LINE.  */
  void *(*append) (void *owner, unsigned line);
};

/* Line and column that the value of a member was read from.  */
typedef struct schema_location
{
  SLIST_ENTRY (schema_location) link;
  const void *member;
  unsigned line;
  unsigned column;
} schema_location_t;

/* Describes the text that is read and collects the findings in it.  If MEMORY
   is set, the locations of all members are allocated there and kept for
   checks that run after the whole text was read.  */
typedef struct schema_source
{
  const char *file;
  findings_t *findings;
  TALLOC_CTX *memory;
  SLIST_HEAD (, schema_location) locations;
} schema_source_t;

void schema_read (schema_source_t *source, toml_node_t *table,
                  const schema_field_t *fields, void *object);
void schema_record_location (schema_source_t *source, const void *member,
                             unsigned line, unsigned column);
void schema_add_finding (const schema_source_t *source, const void *member,
                         const void *object, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
bool schema_parse_duration (const char *text, struct timespec *duration);
bool schema_parse_bytes (const char *text, int64_t *bytes);

#endif
