#include "bench/model_state.h"

#include <math.h>
#include <string.h>

enum
{
  CONVERSATIONS_PER_ACCOUNT = 200,
  SYSTEM_PROMPT_BLOCKS = 8,
  TURN_BLOCKS = 4, /* that each turn adds to the prompt */
  MEAN_PROMPT_TOKENS = 1000,
  MEAN_OUTPUT_TOKENS = 255,
  MIN_OUTPUT_TOKENS = 16,
  MAX_OUTPUT_TOKENS = 1200,
  SYSTEM_PROMPT_COUNT = 4 /* shared by the accounts */
};

/* Return the hash of a block from its VALUE and the PREVIOUS block's hash.  */
static uint64_t
block_hash (uint64_t previous, uint64_t value)
{
  uint64_t mixed = (previous ^ value) * 0x9e3779b97f4a7c15;

  return mixed ^ (mixed >> 29);
}

/* Start the conversation with the account's system prompt and a first block of
   its own.  */
static void
conversation_begin (model_t *model, model_conversation_t *conversation,
                    unsigned account)
{
  uint64_t hash = 1 + account % SYSTEM_PROMPT_COUNT;

  conversation->count = 0;
  while (conversation->count < SYSTEM_PROMPT_BLOCKS)
    {
      hash = block_hash (hash, conversation->count + 1);
      conversation->blocks[conversation->count++] = hash;
    }
  conversation->blocks[conversation->count++]
      = block_hash (hash, model_random (model));
}

/* Create the accounts' conversations, all empty, and add up the weights.  */
void
workload_create (model_t *model)
{
  model->conversation_count
      = (size_t)model->options.accounts * CONVERSATIONS_PER_ACCOUNT;
  model->conversations = talloc_zero_array (model, model_conversation_t,
                                            model->conversation_count);
  model->total_account_weight
      = model->options.accounts - 1 + model->options.flood_factor;
}

/* Choose an account at random, account 0 with its flood factor as weight.  */
static unsigned
workload_draw_account (model_t *model)
{
  double drawn = model_random_unit (model) * model->total_account_weight;

  if (drawn < model->options.flood_factor)
    return 0;
  return 1 + (unsigned)(drawn - model->options.flood_factor);
}

/* Set the prompt to the next turn of one of the account's conversations: its
   previous prompt and TURN_BLOCKS more.  A conversation starts again before it
   exceeds half of MODEL_MAX_BLOCKS.  */
static void
workload_add_turn (model_t *model, model_request_t *request)
{
  size_t index = (size_t)request->account * CONVERSATIONS_PER_ACCOUNT
                 + model_random (model) % CONVERSATIONS_PER_ACCOUNT;
  model_conversation_t *conversation = &model->conversations[index];

  if (conversation->count == 0
      || conversation->count + TURN_BLOCKS > MODEL_MAX_BLOCKS / 2)
    conversation_begin (model, conversation, request->account);
  for (unsigned i = 0; i < TURN_BLOCKS; i++)
    {
      uint64_t previous = conversation->blocks[conversation->count - 1];

      conversation->blocks[conversation->count++]
          = block_hash (previous, model_random (model));
    }
  request->block_count = conversation->count;
  memcpy (request->blocks, conversation->blocks,
          conversation->count * sizeof request->blocks[0]);
  request->prompt_tokens = conversation->count * MODEL_BLOCK_TOKENS;
}

/* Set account, model and size of REQUEST at random.  */
void
workload_draw_request (model_t *model, model_request_t *request)
{
  double output = -log (1 - model_random_unit (model)) * MEAN_OUTPUT_TOKENS;

  request->account = workload_draw_account (model);
  request->model_index = request->account % model->options.models;
  request->output_tokens
      = (uint64_t)fmin (fmax (output, MIN_OUTPUT_TOKENS), MAX_OUTPUT_TOKENS);
  if (model->options.has_conversations)
    workload_add_turn (model, request);
  else
    request->prompt_tokens
        = MEAN_PROMPT_TOKENS / 2 + model_random (model) % MEAN_PROMPT_TOKENS;
}
