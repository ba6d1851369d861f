#include "kernel/findings.h"

#include <stdarg.h>

struct findings
{
  STAILQ_HEAD (, finding) list;
  size_t count;
};

/* Create an empty list of findings, owned by PARENT.  Returns NULL when memory
   is exhausted.  */
findings_t *
findings_create (TALLOC_CTX *parent)
{
  findings_t *findings = talloc_zero (parent, findings_t);

  if (findings != NULL)
    STAILQ_INIT (&findings->list);
  return findings;
}

/* Free FINDINGS and every finding in it.  */
void
findings_destroy (findings_t *findings)
{
  talloc_free (findings);
}

/* Append a finding at FILE:LINE:COLUMN.  FILE is copied.  Does nothing when
   memory is exhausted.  */
void
findings_add (findings_t *findings, const char *file, unsigned line,
              unsigned column, const char *format, ...)
{
  finding_t *finding = talloc_zero (findings, finding_t);
  va_list arguments;

  if (finding == NULL)
    return;
  finding->file = talloc_strdup (finding, file);
  finding->line = line;
  finding->column = column;
  va_start (arguments, format);
  finding->message = talloc_vasprintf (finding, format, arguments);
  va_end (arguments);
  STAILQ_INSERT_TAIL (&findings->list, finding, link);
  findings->count++;
}

/* Return the number of findings.  */
size_t
findings_count (const findings_t *findings)
{
  return findings->count;
}

/* Return the first finding, or NULL.  The others follow through LINK.  */
const finding_t *
findings_first (const findings_t *findings)
{
  return STAILQ_FIRST (&findings->list);
}

/* Write each finding to STREAM as a line FILE:LINE:COLUMN: MESSAGE.  */
void
findings_print (const findings_t *findings, FILE *stream)
{
  const finding_t *finding;

  STAILQ_FOREACH (finding, &findings->list, link)
    {
      fprintf (stream, "%s:%u:%u: %s\n", finding->file, finding->line,
               finding->column, finding->message);
    }
}
