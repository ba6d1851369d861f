#include "plugins/upstream/report.h"

#include <jansson.h>
#include <string.h>

/* Parse a load report such as {"incarnation": "i7", "is_cold": false,
   "running": 3}.  Members that are missing in TEXT are left empty.  Strings
   belong to PARENT.  Returns false if TEXT is not a JSON object.  */
bool
upstream_report_parse (TALLOC_CTX *parent, const char *text, size_t size,
                       upstream_report_t *report)
{
  json_t *root = json_loadb (text, size, 0, NULL);
  const json_t *running = json_object_get (root, "running");
  const char *incarnation
      = json_string_value (json_object_get (root, "incarnation"));

  memset (report, 0, sizeof *report);
  if (!json_is_object (root))
    {
      json_decref (root);
      return false;
    }
  report->incarnation
      = talloc_strdup (parent, incarnation == NULL ? "" : incarnation);
  report->is_cold = json_is_true (json_object_get (root, "is_cold"));
  report->has_running = json_is_integer (running);
  report->running = (uint64_t)json_integer_value (running);
  json_decref (root);
  return true;
}
