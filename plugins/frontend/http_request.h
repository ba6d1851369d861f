#ifndef SISKIN_PLUGINS_FRONTEND_HTTP_REQUEST_H
#define SISKIN_PLUGINS_FRONTEND_HTTP_REQUEST_H

#include "common/http_server.h"
#include "common/settings.h"
#include "plugins/frontend.h"

/* Why a request was rejected; an HTTP_STATUS of 0 means that it was
   accepted.  */
typedef struct http_rejection
{
  unsigned http_status;
  const char *message;
} http_rejection_t;

http_rejection_t http_request_read (http_exchange_t *exchange,
                                    const settings_t *settings,
                                    call_request_t *request);
bool http_request_is_valid_key (const char *text);

#endif
