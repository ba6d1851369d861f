#include "plugins/frontend/chat.h"

#include "plugins/pick.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  BYTES_PER_TOKEN = 4,         /* approximate average of English text */
  DEFAULT_OUTPUT_TOKENS = 256, /* for a request without max_tokens */
  MAX_OUTPUT_TOKENS = 1000000,
  PREFIX_BLOCK_BYTES = 256
};

/* Return whether PATH is that of a completions request, with a JSON body.  */
bool
chat_is_completions_path (const char *path)
{
  return strcmp (path, "/v1/chat/completions") == 0
         || strcmp (path, "/v1/completions") == 0;
}

/* Hash TEXT in blocks.  The hash of each block is seeded with that of the
   previous one, so that equal hashes mean equal prefixes.  */
static void
chat_hash_blocks (TALLOC_CTX *parent, const char *text, size_t size,
                  chat_request_t *chat)
{
  size_t count = size / PREFIX_BLOCK_BYTES;
  uint64_t *blocks;
  uint64_t chain = 0;

  if (count > PICK_MAX_PREFIX_BLOCKS)
    count = PICK_MAX_PREFIX_BLOCKS;
  blocks = talloc_array (parent, uint64_t, count);
  if (blocks == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      chain = XXH3_64bits_withSeed (text + i * PREFIX_BLOCK_BYTES,
                                    PREFIX_BLOCK_BYTES, chain);
      blocks[i] = chain;
    }
  chat->prefix_blocks = blocks;
  chat->prefix_block_count = count;
}

/* Set the token counts and prefix blocks of CHAT from the request ROOT.  */
static void
chat_estimate_tokens (TALLOC_CTX *parent, const json_t *root,
                      chat_request_t *chat)
{
  const json_t *prompt = json_object_get (root, "messages");
  const json_t *limit = json_object_get (root, "max_tokens");
  char *text;

  if (prompt == NULL)
    prompt = json_object_get (root, "prompt");
  text = json_dumps (prompt, JSON_COMPACT | JSON_ENCODE_ANY);
  chat->prompt_tokens = 1;
  if (text != NULL)
    {
      chat->prompt_tokens += strlen (text) / BYTES_PER_TOKEN;
      chat_hash_blocks (parent, text, strlen (text), chat);
    }
  free (text);
  chat->output_tokens = DEFAULT_OUTPUT_TOKENS;
  if (json_is_integer (limit) && json_integer_value (limit) > 0
      && json_integer_value (limit) < MAX_OUTPUT_TOKENS)
    chat->output_tokens = (uint64_t)json_integer_value (limit);
}

/* Parse BODY into CHAT, whose members belong to PARENT.  Returns false if BODY
   is not a completions request.  */
bool
chat_read (TALLOC_CTX *parent, const char *body, size_t size,
           chat_request_t *chat)
{
  json_t *root = json_loadb (body, size, 0, NULL);
  const char *model = json_string_value (json_object_get (root, "model"));
  bool is_valid = model != NULL
                  && (json_is_array (json_object_get (root, "messages"))
                      || json_is_string (json_object_get (root, "prompt")));

  if (is_valid)
    {
      chat->model = talloc_strdup (parent, model);
      chat_estimate_tokens (parent, root, chat);
    }
  json_decref (root);
  return is_valid;
}
