#include "bench/model_state.h"

#include <stdlib.h>

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

static double
median (double *values, size_t count)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  return values[count / 2];
}

static double
hottest_ratio (const model_t *model)
{
  double sum = 0;
  double most = 0;

  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      double load = model->upstreams[i].load_integral;

      sum += load;
      most = load > most ? load : most;
    }
  return sum == 0 ? 0 : most * model->options.upstreams / sum;
}

/* Fill RESULT with what MODEL measured; the samples stay the model's.  */
void
model_result (model_t *model, model_result_t *result)
{
  *result = (model_result_t){
    .samples = model->samples,
    .count = model->sample_count,
    .prompt_tokens = model->prompt_tokens,
    .cached_tokens = model->cached_tokens,
    .hottest_ratio = hottest_ratio (model),
    .cold_over = model->cold_over,
    .retries = model->retries,
    .reroutes = model->reroutes,
    .decision_us = median (model->decisions, model->decision_count),
  };
}

/* Return the load of the busiest upstream to that of the mean one in SECOND of
   the run.  */
double
model_imbalance (const model_t *model, int64_t second)
{
  double sum = 0;
  double most = 0;

  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      double load = model->upstreams[i].second_load[second];

      sum += load;
      most = load > most ? load : most;
    }
  return sum == 0 ? 0 : most * model->options.upstreams / sum;
}

/* Return the time to the first token in milliseconds that PERCENT of the
   requests that arrived from FROM_MS to TO_MS kept, with those that got no
   token above all others.  EXCLUDED_ACCOUNT is left out; -1 for none.  */
int64_t
model_first_token_ms (const model_result_t *result, unsigned percent,
                      int64_t from_ms, int64_t to_ms, int excluded_account)
{
  double *times = talloc_array (NULL, double, result->count + 1);
  size_t count = 0;
  int64_t kept = -1;

  for (size_t i = 0; i < result->count; i++)
    {
      const model_sample_t *sample = &result->samples[i];

      if (sample->arrived_ms < from_ms || sample->arrived_ms >= to_ms
          || (int)sample->account == excluded_account)
        continue;
      times[count++] = sample->first_ms < 0 ? 1e9 : (double)sample->first_ms;
    }
  if (count > 0)
    {
      qsort (times, count, sizeof *times, compare_doubles);
      kept = (int64_t)times[(count - 1) * percent / 100];
    }
  talloc_free (times);
  return kept;
}

/* Return the whole answers a second that ended from FROM_MS to TO_MS.  */
double
model_goodput (const model_result_t *result, int64_t from_ms, int64_t to_ms)
{
  size_t whole = 0;

  for (size_t i = 0; i < result->count; i++)
    {
      const model_sample_t *sample = &result->samples[i];

      whole += sample->is_whole && sample->ended_ms >= from_ms
               && sample->ended_ms < to_ms;
    }
  return (double)whole * 1000 / (double)(to_ms - from_ms);
}
