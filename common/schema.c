#include "common/schema.h"

#include "kernel/clock.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

typedef struct unit
{
  const char *name;
  double factor;
} unit_t;

static const unit_t duration_units[] = {
  { "us", 1e-6 },  { "ms", 1e-3 },   { "s", 1.0 },  { "min", 60.0 },
  { "h", 3600.0 }, { "d", 86400.0 }, { NULL, 0.0 },
};

static const unit_t byte_units[] = {
  { "B", 1.0 },
  { "KiB", 1024.0 },
  { "MiB", 1024.0 * 1024.0 },
  { "GiB", 1024.0 * 1024.0 * 1024.0 },
  { NULL, 0.0 },
};

/* Of a duration in seconds and a size in bytes: in microseconds it fits into
   an int64_t.  */
static const double max_value = 9e12;

/* Read a number from 0 to max_value followed by one of UNITS into *VALUE.  */
static bool
schema_parse_unit (const char *text, const unit_t *units, double *value)
{
  char *rest;
  double number = strtod (text, &rest);

  if (rest == text)
    return false;
  while (*rest == ' ')
    rest++;
  for (const unit_t *unit = units; unit->name != NULL; unit++)
    {
      if (strcmp (rest, unit->name) == 0)
        {
          *value = number * unit->factor;
          /* Not a number fails both.  */
          return *value >= 0 && *value <= max_value;
        }
    }
  return false;
}

/* Read a duration such as "250 ms" into *DURATION.  Returns false when TEXT
   has no number or no known unit.  */
bool
schema_parse_duration (const char *text, struct timespec *duration)
{
  double seconds;

  if (!schema_parse_unit (text, duration_units, &seconds))
    return false;
  *duration = timespec_from_us ((int64_t)(seconds * 1e6 + 0.5));
  return true;
}

/* Read a size such as "64 KiB" into *BYTES.  Returns false when TEXT has no
   number or no known unit.  */
bool
schema_parse_bytes (const char *text, int64_t *bytes)
{
  double value;

  if (!schema_parse_unit (text, byte_units, &value))
    return false;
  *bytes = (int64_t)(value + 0.5);
  return true;
}

/* Record that MEMBER, an address within the object that is read, was read from
   LINE and COLUMN.  Does nothing when SOURCE keeps no locations.  */
void
schema_record_location (schema_source_t *source, const void *member,
                        unsigned line, unsigned column)
{
  schema_location_t *location;

  if (source->memory == NULL)
    return;
  location = talloc_zero (source->memory, schema_location_t);
  if (location == NULL)
    return;
  location->member = member;
  location->line = line;
  location->column = column;
  SLIST_INSERT_HEAD (&source->locations, location, link);
}

static const schema_location_t *
schema_find_location (const schema_source_t *source, const void *member)
{
  const schema_location_t *location;

  SLIST_FOREACH (location, &source->locations, link)
    {
      if (location->member == member)
        return location;
    }
  return NULL;
}

/* Add a finding at the location of MEMBER, or at that of OBJECT when MEMBER
   was not read and has its default value.  OBJECT may be NULL.  */
void
schema_add_finding (const schema_source_t *source, const void *member,
                    const void *object, const char *format, ...)
{
  const schema_location_t *location = schema_find_location (source, member);
  va_list arguments;
  char *message;

  if (location == NULL)
    location = schema_find_location (source, object);
  va_start (arguments, format);
  message = talloc_vasprintf (NULL, format, arguments);
  va_end (arguments);
  findings_add (source->findings, source->file,
                location == NULL ? 0 : location->line,
                location == NULL ? 0 : location->column, "%s", message);
  talloc_free (message);
}

static toml_node_t *
schema_find_child (toml_node_t *table, const char *key)
{
  toml_node_t *child;

  TAILQ_FOREACH (child, &table->children, link)
    {
      if (strcmp (child->key, key) == 0)
        return child;
    }
  return NULL;
}

static void
schema_mismatch (const schema_source_t *source, const toml_node_t *node,
                 const schema_field_t *field, const char *expected)
{
  findings_add (source->findings, source->file, node->line, node->column,
                "'%s' must be %s", field->key, expected);
}

static void
schema_check_range (const schema_source_t *source, const toml_node_t *node,
                    const schema_field_t *field, double value,
                    const char *unit)
{
  if (field->minimum >= field->maximum
      || (value >= field->minimum && value <= field->maximum))
    return;
  findings_add (source->findings, source->file, node->line, node->column,
                "'%s' must be from %g%s to %g%s", field->key, field->minimum,
                unit, field->maximum, unit);
}

static void
schema_read_number (const schema_source_t *source, const toml_node_t *node,
                    const schema_field_t *field, void *member)
{
  double value
      = node->kind == TOML_INTEGER ? (double)node->integer : node->real;

  if (field->kind == SCHEMA_INTEGER && node->kind == TOML_INTEGER)
    *(int64_t *)member = node->integer;
  else if (field->kind == SCHEMA_REAL
           && (node->kind == TOML_REAL || node->kind == TOML_INTEGER))
    *(double *)member = value;
  else
    {
      schema_mismatch (source, node, field,
                       field->kind == SCHEMA_INTEGER ? "an integer"
                                                     : "a number");
      return;
    }
  schema_check_range (source, node, field, value, "");
}

static void
schema_read_duration (const schema_source_t *source, const toml_node_t *node,
                      const schema_field_t *field, void *member)
{
  struct timespec duration;

  if (node->kind != TOML_STRING
      || !schema_parse_duration (node->string, &duration))
    {
      schema_mismatch (source, node, field,
                       "a duration with its unit, such as \"250 ms\"");
      return;
    }
  *(struct timespec *)member = duration;
  schema_check_range (source, node, field, (double)timespec_to_ms (duration),
                      " ms");
}

static void
schema_read_bytes (const schema_source_t *source, const toml_node_t *node,
                   const schema_field_t *field, void *member)
{
  int64_t bytes;

  if (node->kind != TOML_STRING || !schema_parse_bytes (node->string, &bytes))
    {
      schema_mismatch (source, node, field,
                       "a size with its unit, such as \"64 KiB\"");
      return;
    }
  *(int64_t *)member = bytes;
  schema_check_range (source, node, field, (double)bytes, " B");
}

static void
schema_read_strings (const schema_source_t *source, toml_node_t *node,
                     const schema_field_t *field, void *object, void *member)
{
  schema_strings_t *strings = member;
  toml_node_t *child;

  if (node->kind != TOML_ARRAY)
    {
      schema_mismatch (source, node, field, "a list of strings");
      return;
    }
  TAILQ_FOREACH (child, &node->children, link)
    {
      schema_string_t *string;

      if (child->kind != TOML_STRING)
        {
          schema_mismatch (source, child, field, "a list of strings");
          continue;
        }
      string = talloc_zero (object, schema_string_t);
      if (string == NULL)
        return;
      string->text = talloc_strdup (string, child->string);
      string->line = child->line;
      string->column = child->column;
      STAILQ_INSERT_TAIL (strings, string, link);
    }
}

static void
schema_read_element (schema_source_t *source, toml_node_t *table,
                     const schema_field_t *field, void *owner)
{
  void *object = field->append (owner, table->line);

  schema_record_location (source, object, table->line, table->column);
  schema_read (source, table, field->fields, object);
}

static void
schema_read_tables (schema_source_t *source, toml_node_t *node,
                    const schema_field_t *field, void *object)
{
  toml_node_t *child;

  if (node->kind != TOML_ARRAY)
    {
      schema_mismatch (source, node, field, "a list of tables");
      return;
    }
  TAILQ_FOREACH (child, &node->children, link)
    {
      if (child->kind != TOML_TABLE)
        schema_mismatch (source, child, field, "a list of tables");
      else
        schema_read_element (source, child, field, object);
    }
}

static void
schema_read_field (schema_source_t *source, toml_node_t *node,
                   const schema_field_t *field, void *object)
{
  void *member = (char *)object + field->offset;

  if (field->kind < SCHEMA_TABLE)
    schema_record_location (source, member, node->line, node->column);
  switch (field->kind)
    {
    case SCHEMA_STRING:
      if (node->kind != TOML_STRING)
        schema_mismatch (source, node, field, "a string");
      else
        *(const char **)member = talloc_strdup (object, node->string);
      break;
    case SCHEMA_BOOLEAN:
      if (node->kind != TOML_BOOLEAN)
        schema_mismatch (source, node, field, "true or false");
      else
        *(bool *)member = node->boolean;
      break;
    case SCHEMA_INTEGER:
    case SCHEMA_REAL:
      schema_read_number (source, node, field, member);
      break;
    case SCHEMA_DURATION:
      schema_read_duration (source, node, field, member);
      break;
    case SCHEMA_BYTES:
      schema_read_bytes (source, node, field, member);
      break;
    case SCHEMA_STRINGS:
      schema_read_strings (source, node, field, object, member);
      break;
    case SCHEMA_TABLE:
      if (node->kind != TOML_TABLE)
        schema_mismatch (source, node, field, "a table");
      else
        schema_read (source, node, field->fields, object);
      break;
    case SCHEMA_TABLES:
      schema_read_tables (source, node, field, object);
      break;
    case SCHEMA_END:
      break;
    }
}

/* Read TABLE into OBJECT, a talloc object, as FIELDS describe.  Members whose
   key is absent keep their value.  Every unknown key, missing required key and
   value of the wrong type or out of range becomes a finding.  */
void
schema_read (schema_source_t *source, toml_node_t *table,
             const schema_field_t *fields, void *object)
{
  toml_node_t *child;

  for (const schema_field_t *field = fields; field->kind != SCHEMA_END;
       field++)
    {
      toml_node_t *node = schema_find_child (table, field->key);

      if (node != NULL)
        {
          node->is_read = true;
          schema_read_field (source, node, field, object);
        }
      else if (field->is_required)
        findings_add (source->findings, source->file, table->line,
                      table->column, "'%s' is missing", field->key);
    }
  TAILQ_FOREACH (child, &table->children, link)
    {
      if (!child->is_read)
        findings_add (source->findings, source->file, child->line,
                      child->column, "'%s' is not a known setting",
                      child->key);
    }
}
