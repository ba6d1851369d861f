#include "plugins/catalog.h"

/* Read all of the operators' configuration.  */
status_t
catalog_read_rules (const catalog_ops_t *ops, const char *text, size_t size,
                    rules_t **rules)
{
  rules_reader_t *reader = ops->open_rules (NULL, text, size);
  status_t status = STATUS_OK;

  *rules = NULL;
  if (reader == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory to read the rules");
  while (status == STATUS_OK && *rules == NULL)
    status = ops->read_rules_part (reader, rules);
  ops->close_rules (reader);
  return status;
}
