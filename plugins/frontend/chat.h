#ifndef SISKIN_PLUGINS_FRONTEND_CHAT_H
#define SISKIN_PLUGINS_FRONTEND_CHAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* The properties of a chat completions request that routing uses.  */
typedef struct chat_request
{
  const char *model;
  uint64_t prompt_tokens;        /* estimate */
  uint64_t output_tokens;        /* maximum, or a default */
  const uint64_t *prefix_blocks; /* chained hashes of the prompt's blocks */
  size_t prefix_block_count;
} chat_request_t;

bool chat_is_completions_path (const char *path);
bool chat_read (TALLOC_CTX *parent, const char *body, size_t size,
                chat_request_t *chat);

#endif
