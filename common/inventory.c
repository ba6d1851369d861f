#include "common/inventory.h"

#include "common/net.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

typedef enum inventory_column
{
  COLUMN_NAME,
  COLUMN_ADDRESS,
  COLUMN_ZONE,
  COLUMN_KIND,
  COLUMN_SERVICE,
  COLUMN_MODEL,
  COLUMN_GROUP,
  COLUMN_RANK,
  COLUMN_ADMIN,
  COLUMN_COUNT
} inventory_column_t;

static const char *const column_names[COLUMN_COUNT] = {
  [COLUMN_NAME] = "name",       [COLUMN_ADDRESS] = "address",
  [COLUMN_ZONE] = "zone",       [COLUMN_KIND] = "kind",
  [COLUMN_SERVICE] = "service", [COLUMN_MODEL] = "model",
  [COLUMN_GROUP] = "group",     [COLUMN_RANK] = "rank",
  [COLUMN_ADMIN] = "admin",
};

enum
{
  MAX_COLUMNS = 64
};

typedef struct cell
{
  char *text;
  unsigned column; /* where it starts in the line, from 1 */
} cell_t;

typedef struct inventory_reader
{
  settings_t *settings;
  schema_source_t *source;
  name_index_t entry_names;
  unsigned line;
  int places[COLUMN_COUNT]; /* cell index of each column, or -1 */
  cell_t cells[MAX_COLUMNS];
  unsigned cell_count;
} inventory_reader_t;

/* Cut TEXT, one line, into cells at commas outside double quotes.  A doubled
   quote inside quotes stands for itself.  */
static void
inventory_split (inventory_reader_t *reader, char *text)
{
  const char *in = text;
  char *out = text;
  bool is_quoted = false;

  reader->cell_count = 1;
  reader->cells[0] = (cell_t){ text, 1 };
  for (; *in != '\0'; in++)
    {
      if (*in == '"' && is_quoted && in[1] == '"')
        *out++ = *in++;
      else if (*in == '"')
        is_quoted = !is_quoted;
      else if (*in == ',' && !is_quoted && reader->cell_count < MAX_COLUMNS)
        {
          *out++ = '\0';
          reader->cells[reader->cell_count++]
              = (cell_t){ out, (unsigned)(in - text) + 2 };
        }
      else
        *out++ = *in;
    }
  *out = '\0';
  if (is_quoted)
    findings_add (reader->source->findings, reader->source->file, reader->line,
                  reader->cells[reader->cell_count - 1].column,
                  "a quoted cell is not closed on its line");
}

static void
inventory_trim (cell_t *cell)
{
  size_t length;

  while (isspace ((unsigned char)*cell->text))
    cell->text++;
  length = strlen (cell->text);
  while (length > 0 && isspace ((unsigned char)cell->text[length - 1]))
    cell->text[--length] = '\0';
}

static bool
inventory_read_header (inventory_reader_t *reader)
{
  bool is_complete = true;

  for (unsigned column = 0; column < COLUMN_COUNT; column++)
    {
      reader->places[column] = -1;
      for (unsigned i = 0; i < reader->cell_count; i++)
        {
          if (strcasecmp (reader->cells[i].text, column_names[column]) == 0)
            reader->places[column] = (int)i;
        }
      if (reader->places[column] < 0 && column < COLUMN_MODEL)
        {
          findings_add (reader->source->findings, reader->source->file,
                        reader->line, 1, "column '%s' is missing",
                        column_names[column]);
          is_complete = false;
        }
    }
  return is_complete;
}

static const char *
inventory_cell (const inventory_reader_t *reader, inventory_column_t column)
{
  int place = reader->places[column];

  if (place < 0 || (unsigned)place >= reader->cell_count)
    return "";
  return reader->cells[place].text;
}

static unsigned
inventory_cell_column (const inventory_reader_t *reader,
                       inventory_column_t column)
{
  int place = reader->places[column];

  if (place < 0 || (unsigned)place >= reader->cell_count)
    return 1;
  return reader->cells[place].column;
}

static void
inventory_fault (const inventory_reader_t *reader, inventory_column_t column,
                 const char *message)
{
  findings_add (reader->source->findings, reader->source->file, reader->line,
                inventory_cell_column (reader, column), "%s '%s' %s",
                column_names[column], inventory_cell (reader, column),
                message);
}

static void
inventory_check_address (inventory_reader_t *reader, inventory_column_t column)
{
  TALLOC_CTX *scratch = talloc_new (reader->settings);
  net_address_t address;

  if (net_address_parse (scratch, inventory_cell (reader, column), &address)
      != STATUS_OK)
    inventory_fault (reader, column, "is not ADDRESS:PORT");
  talloc_free (scratch);
}

static void
inventory_check_common (inventory_reader_t *reader)
{
  const char *name = inventory_cell (reader, COLUMN_NAME);

  if (name[0] == '\0')
    inventory_fault (reader, COLUMN_NAME, "is empty");
  inventory_check_address (reader, COLUMN_ADDRESS);
  if (inventory_cell (reader, COLUMN_ADMIN)[0] != '\0')
    inventory_check_address (reader, COLUMN_ADMIN);
  if (settings_zone (reader->settings, inventory_cell (reader, COLUMN_ZONE))
      == NULL)
    inventory_fault (reader, COLUMN_ZONE, "is not a zone of the settings");
}

/* Copy the cell of COLUMN to *MEMBER of OBJECT and keep its place.  */
static void
inventory_take (inventory_reader_t *reader, inventory_column_t column,
                void *object, const char **member)
{
  *member = talloc_strdup (object, inventory_cell (reader, column));
  schema_record_location (reader->source, member, reader->line,
                          inventory_cell_column (reader, column));
}

static void
inventory_add_entry_vm (inventory_reader_t *reader)
{
  entry_vm_t *entry_vm = talloc_zero (reader->settings, entry_vm_t);

  if (entry_vm == NULL)
    return;
  schema_record_location (reader->source, entry_vm, reader->line, 1);
  inventory_take (reader, COLUMN_NAME, entry_vm, &entry_vm->name);
  inventory_take (reader, COLUMN_ADDRESS, entry_vm, &entry_vm->address);
  inventory_take (reader, COLUMN_ZONE, entry_vm, &entry_vm->zone);
  inventory_take (reader, COLUMN_ADMIN, entry_vm, &entry_vm->admin);
  entry_vm->line = reader->line;
  STAILQ_INSERT_TAIL (&reader->settings->entry_vms, entry_vm, link);
  name_index_add (&reader->entry_names, reader->settings, entry_vm->name,
                  entry_vm);
}

static int64_t
inventory_rank (const inventory_reader_t *reader)
{
  const char *text = inventory_cell (reader, COLUMN_RANK);
  char *rest;
  long rank;

  if (text[0] == '\0')
    return 0;
  rank = strtol (text, &rest, 10);
  if (*rest != '\0' || rank < 0)
    {
      inventory_fault (reader, COLUMN_RANK, "is not a whole number");
      return 0;
    }
  return rank;
}

static void
inventory_add_upstream (inventory_reader_t *reader, upstream_kind_t kind)
{
  upstream_t *upstream = talloc_zero (reader->settings, upstream_t);

  if (upstream == NULL)
    return;
  if (settings_service (reader->settings,
                        inventory_cell (reader, COLUMN_SERVICE))
      == NULL)
    inventory_fault (reader, COLUMN_SERVICE,
                     "is not a service of the settings");
  schema_record_location (reader->source, upstream, reader->line, 1);
  inventory_take (reader, COLUMN_NAME, upstream, &upstream->name);
  inventory_take (reader, COLUMN_ADDRESS, upstream, &upstream->address);
  inventory_take (reader, COLUMN_ZONE, upstream, &upstream->zone);
  inventory_take (reader, COLUMN_SERVICE, upstream, &upstream->service);
  inventory_take (reader, COLUMN_MODEL, upstream, &upstream->model);
  inventory_take (reader, COLUMN_GROUP, upstream, &upstream->group);
  schema_record_location (reader->source, &upstream->kind, reader->line,
                          inventory_cell_column (reader, COLUMN_KIND));
  schema_record_location (reader->source, &upstream->rank, reader->line,
                          inventory_cell_column (reader, COLUMN_RANK));
  upstream->rank = inventory_rank (reader);
  upstream->kind = kind;
  upstream->line = reader->line;
  STAILQ_INSERT_TAIL (&reader->settings->upstreams, upstream, link);
  name_index_add (&reader->settings->upstream_index, reader->settings,
                  upstream->name, upstream);
}

static void
inventory_read_row (inventory_reader_t *reader)
{
  const char *kind = inventory_cell (reader, COLUMN_KIND);

  inventory_check_common (reader);
  if (strcmp (kind, "entry") == 0)
    inventory_add_entry_vm (reader);
  else if (strcmp (kind, "model") == 0)
    inventory_add_upstream (reader, UPSTREAM_MODEL);
  else if (strcmp (kind, "plain") == 0)
    inventory_add_upstream (reader, UPSTREAM_PLAIN);
  else
    inventory_fault (reader, COLUMN_KIND, "is not entry, model or plain");
}

static void
inventory_read_line (inventory_reader_t *reader, char *line, bool *has_header)
{
  line[strcspn (line, "\r")] = '\0';
  if (line[0] == '\0' || line[0] == '#')
    return;
  inventory_split (reader, line);
  for (unsigned i = 0; i < reader->cell_count; i++)
    inventory_trim (&reader->cells[i]);
  if (*has_header)
    inventory_read_row (reader);
  else
    *has_header = inventory_read_header (reader);
}

static void
inventory_report_duplicate (const void *first, const void *second, void *data)
{
  const inventory_reader_t *reader = data;
  const entry_vm_t *entry_vm = second;

  schema_add_finding (reader->source, &entry_vm->name, entry_vm,
                      "name '%s' is there already, on line %u", entry_vm->name,
                      ((const entry_vm_t *)first)->line);
}

/* Upstreams and entries share one space of names.  */
static void
inventory_check_entry_names (inventory_reader_t *reader)
{
  const entry_vm_t *entry_vm;

  name_index_sort (&reader->entry_names);
  name_index_report_duplicates (&reader->entry_names,
                                inventory_report_duplicate, reader);
  STAILQ_FOREACH (entry_vm, &reader->settings->entry_vms, link)
    {
      const upstream_t *upstream
          = settings_upstream (reader->settings, entry_vm->name);

      if (upstream != NULL)
        schema_add_finding (reader->source, &entry_vm->name, entry_vm,
                            "name '%s' is that of the upstream on line %u too",
                            entry_vm->name, upstream->line);
    }
}

/* Read TEXT, a CSV export of the asset register whose first line names the
   columns, into SETTINGS, whose zones and services are known already.  Further
   columns of the register are ignored.  Each fault becomes a finding at its
   place in SOURCE.  */
void
inventory_read (settings_t *settings, const char *text,
                schema_source_t *source)
{
  inventory_reader_t reader = { .settings = settings, .source = source };
  size_t faults = findings_count (source->findings);
  char *copy = talloc_strdup (settings, text);
  bool has_header = false;
  char *next;

  for (char *line = copy; line != NULL; line = next)
    {
      next = strchr (line, '\n');
      if (next != NULL)
        *next++ = '\0';
      reader.line++;
      inventory_read_line (&reader, line, &has_header);
      if (!has_header && findings_count (source->findings) > faults)
        break;
    }
  if (!has_header && findings_count (source->findings) == faults)
    findings_add (source->findings, source->file, 0, 0,
                  "the inventory is empty");
  name_index_sort (&settings->upstream_index);
  inventory_check_entry_names (&reader);
  talloc_free (copy);
}
