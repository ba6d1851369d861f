#include "bench/model_state.h"

#include <math.h>
#include <string.h>

enum
{
  CONVERSATIONS_AN_ACCOUNT = 200,
  SYSTEM_BLOCKS = 8,
  TURN_BLOCKS = 4,
  MEAN_PROMPT_TOKENS = 1000,
  MEAN_OUTPUT_TOKENS = 255,
  MIN_OUTPUT_TOKENS = 16,
  MAX_OUTPUT_TOKENS = 1200,
  SYSTEM_PROMPTS = 4
};

static uint64_t
chain (uint64_t previous, uint64_t value)
{
  uint64_t mixed = (previous ^ value) * 0x9e3779b97f4a7c15;

  return mixed ^ (mixed >> 29);
}

static void
conversation_begin (model_t *model, model_conversation_t *conversation,
                    unsigned account)
{
  uint64_t last = 1 + account % SYSTEM_PROMPTS;

  conversation->count = 0;
  while (conversation->count < SYSTEM_BLOCKS)
    {
      last = chain (last, conversation->count + 1);
      conversation->blocks[conversation->count++] = last;
    }
  conversation->blocks[conversation->count++]
      = chain (last, model_random (model));
}

/* Create the conversations that the accounts have under way.  */
void
workload_create (model_t *model)
{
  model->conversation_count
      = (size_t)model->options.accounts * CONVERSATIONS_AN_ACCOUNT;
  model->conversations = talloc_zero_array (model, model_conversation_t,
                                            model->conversation_count);
  model->account_weight
      = model->options.accounts - 1 + model->options.hog_factor;
}

static unsigned
workload_account (model_t *model)
{
  double drawn = model_random_unit (model) * model->account_weight;

  if (drawn < model->options.hog_factor)
    return 0;
  return 1 + (unsigned)(drawn - model->options.hog_factor);
}

/* The next turn: all that was said before and a little more.  */
static void
workload_turn (model_t *model, model_request_t *request)
{
  size_t index = (size_t)request->account * CONVERSATIONS_AN_ACCOUNT
                 + model_random (model) % CONVERSATIONS_AN_ACCOUNT;
  model_conversation_t *conversation = &model->conversations[index];

  if (conversation->count == 0
      || conversation->count + TURN_BLOCKS > MODEL_MAX_BLOCKS / 2)
    conversation_begin (model, conversation, request->account);
  for (unsigned i = 0; i < TURN_BLOCKS; i++)
    {
      uint64_t last = conversation->blocks[conversation->count - 1];

      conversation->blocks[conversation->count++]
          = chain (last, model_random (model));
    }
  request->block_count = conversation->count;
  memcpy (request->blocks, conversation->blocks,
          conversation->count * sizeof request->blocks[0]);
  request->prompt_tokens = conversation->count * MODEL_BLOCK_TOKENS;
}

/* Draw the account and the size of REQUEST.  */
void
workload_fill (model_t *model, model_request_t *request)
{
  double output = -log (1 - model_random_unit (model)) * MEAN_OUTPUT_TOKENS;

  request->account = workload_account (model);
  request->model_index = request->account % model->options.models;
  request->output_tokens
      = (uint64_t)fmin (fmax (output, MIN_OUTPUT_TOKENS), MAX_OUTPUT_TOKENS);
  if (model->options.has_conversations)
    workload_turn (model, request);
  else
    request->prompt_tokens
        = MEAN_PROMPT_TOKENS / 2 + model_random (model) % MEAN_PROMPT_TOKENS;
}
