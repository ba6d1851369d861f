#ifndef SISKIN_KERNEL_STATUS_H
#define SISKIN_KERNEL_STATUS_H

/* Result of an operation that can fail.  Zero is success.  */
typedef enum status
{
  STATUS_OK = 0,
  STATUS_NO_MEMORY,
  STATUS_INVALID, /* malformed or out-of-range input */
  STATUS_NOT_FOUND,
  STATUS_CONFLICT,    /* a failed compare-and-swap, or a duplicate */
  STATUS_UNAVAILABLE, /* the peer cannot be reached or is closing */
  STATUS_TIMEOUT,
  STATUS_PROTOCOL, /* a peer violated the protocol */
  STATUS_TOO_LARGE,
  STATUS_REFUSED, /* rejected by a policy */
  STATUS_IO,
  STATUS_COUNT
} status_t;

const char *status_name (status_t status);
/* The status message describes the last failure.  Each thread has its own.
   status_set replaces it and returns STATUS; the pointer that status_message
   returns is valid until the thread calls status_set again.  */
status_t status_set (status_t status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
const char *status_message (void);

#endif
