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
  SCHEMA_TABLE,    /* read with FIELDS into the same object */
  SCHEMA_TABLES    /* an array of tables, each handed to APPEND */
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

/* One key of a TOML table and the member it is read into.  MINIMUM and
   MAXIMUM bound numbers (durations in ms); both 0 leave them unbounded.  */
typedef struct schema_field schema_field_t;
struct schema_field
{
  const char *key;
  schema_kind_t kind;
  size_t offset;
  bool is_required;
  double minimum;
  double maximum;
  const schema_field_t *fields;
  /* Create the object that one table of a SCHEMA_TABLES is read into and link
     it into OWNER.  LINE is where the table starts.  */
  void *(*append) (void *owner, unsigned line);
};

/* Where the value of a member was read from.  */
typedef struct schema_location
{
  SLIST_ENTRY (schema_location) link;
  const void *member;
  unsigned line;
  unsigned column;
} schema_location_t;

/* The text that is read and where its faults go.  With MEMORY set, the places
   of all members are kept there, for faults that show only later.  */
typedef struct schema_source
{
  const char *file;
  findings_t *findings;
  TALLOC_CTX *memory;
  SLIST_HEAD (, schema_location) places;
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
