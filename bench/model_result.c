#include "bench/model_state.h"

#include <stdlib.h>

/* Stands for the time to first token of a request that got none.  */
static const double no_token_ms = 1e9;

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
overall_imbalance (const model_t *model)
{
  double sum = 0;
  double max = 0;

  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      double load = model->upstreams[i].load_integral;

      sum += load;
      max = load > max ? load : max;
    }
  return sum == 0 ? 0 : max * model->options.upstreams / sum;
}

/* Fill RESULT with the measurements of MODEL, which keeps ownership of the
   samples.  */
void
model_result (model_t *model, model_result_t *result)
{
  *result = (model_result_t){
    .samples = model->samples,
    .count = model->sample_count,
    .prompt_tokens = model->prompt_tokens,
    .cached_tokens = model->cached_tokens,
    .overall_imbalance = overall_imbalance (model),
    .cold_excess = model->cold_excess,
    .retries = model->retries,
    .reroutes = model->reroutes,
    .decision_us = median (model->decision_times_us, model->decision_count),
  };
}

/* Return the highest load of an upstream divided by the mean load of all, in
   SECOND of the run; 0 when there was no load.  */
double
model_imbalance (const model_t *model, int64_t second)
{
  double sum = 0;
  double max = 0;

  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      double load = model->upstreams[i].load_per_second[second];

      sum += load;
      max = load > max ? load : max;
    }
  return sum == 0 ? 0 : max * model->options.upstreams / sum;
}

/* Return the time to first token at PERCENTILE, in milliseconds, of the
   requests that arrived from FROM_MS to TO_MS; -1 if there were none.  A
   request without a token counts as slower than any other.  Requests of
   EXCLUDED_ACCOUNT are not counted; -1 excludes none.  */
int64_t
model_first_token_percentile_ms (const model_result_t *result,
                                 unsigned percentile, int64_t from_ms,
                                 int64_t to_ms, int excluded_account)
{
  double *times = talloc_array (NULL, double, result->count + 1);
  size_t count = 0;
  int64_t value_ms = -1;

  for (size_t i = 0; i < result->count; i++)
    {
      const model_sample_t *sample = &result->samples[i];

      if (sample->arrived_ms < from_ms || sample->arrived_ms >= to_ms
          || (int)sample->account == excluded_account)
        continue;
      times[count++] = sample->first_token_ms < 0
                           ? no_token_ms
                           : (double)sample->first_token_ms;
    }
  if (count > 0)
    {
      qsort (times, count, sizeof *times, compare_doubles);
      value_ms = (int64_t)times[(count - 1) * percentile / 100];
    }
  talloc_free (times);
  return value_ms;
}

/* Return the number of complete responses per second that ended from FROM_MS
   to TO_MS.  */
double
model_goodput (const model_result_t *result, int64_t from_ms, int64_t to_ms)
{
  size_t complete_count = 0;

  for (size_t i = 0; i < result->count; i++)
    {
      const model_sample_t *sample = &result->samples[i];

      complete_count += sample->is_complete && sample->ended_ms >= from_ms
                        && sample->ended_ms < to_ms;
    }
  return (double)complete_count * 1000 / (double)(to_ms - from_ms);
}
