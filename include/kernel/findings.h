#ifndef SISKIN_KERNEL_FINDINGS_H
#define SISKIN_KERNEL_FINDINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <sys/queue.h>
#include <talloc.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* An error found in a file supplied by the operator, and its location.
     LINE and COLUMN count from 1; 0 means that the error concerns the file as
     a whole.  */
  typedef struct finding
  {
    STAILQ_ENTRY (finding) link;
    const char *file;
    unsigned line;
    unsigned column;
    const char *message;
  } finding_t;

  typedef struct findings findings_t;

  findings_t *findings_create (TALLOC_CTX *parent);
  void findings_destroy (findings_t *findings);
  void findings_add (findings_t *findings, const char *file, unsigned line,
                     unsigned column, const char *format, ...)
      __attribute__ ((format (printf, 5, 6)));
  size_t findings_count (const findings_t *findings);
  const finding_t *findings_first (const findings_t *findings);
  void findings_print (const findings_t *findings, FILE *stream);

#ifdef __cplusplus
}
#endif

#endif
