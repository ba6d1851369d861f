#include "relay/request_digest.h"

#include <string.h>
#include <xxhash.h>

/* Return the digest of TEXT, continued from DIGEST.  */
static uint64_t
digest_text (uint64_t digest, const char *text)
{
  return XXH3_64bits_withSeed (text, strlen (text), digest);
}

/* Return a digest of the method, host, target and body of REQUEST.  */
uint64_t
request_digest (const relay_request_t *request)
{
  uint64_t digest = digest_text (0, request->method);

  digest = digest_text (digest, request->host);
  digest = digest_text (digest, request->target);
  return XXH3_64bits_withSeed (request->body.data, request->body.size, digest);
}
