#include "bench/model_state.h"

#include <string.h>

enum
{
  REQUEST_LIMIT_TOKENS = 2400 /* token limit for each request of a limit */
};

static char *
settings_rules (model_t *model, TALLOC_CTX *parent)
{
  const model_options_t *options = &model->options;
  uint64_t tokens = (uint64_t)options->maximum_requests * REQUEST_LIMIT_TOKENS;
  char *text = talloc_strdup (parent, "[site]\nname = \"model\"\n");

  for (unsigned i = 0; i < options->zones; i++)
    text = talloc_asprintf_append (
        text, "[[zone]]\nname = \"z%u\"\nregion = \"r\"\n", i);
  for (unsigned i = 0; i < options->accounts; i++)
    text = talloc_asprintf_append (
        text, "[[account]]\nname = \"a%u\"\npriority = 1\nshare = 1\n", i);
  text = talloc_asprintf_append (
      text,
      "[[service]]\nname = \"s\"\nkind = \"model\"\npath = \"/v1/\"\n"
      "pick = \"%s\"\nmodels = [",
      options->pick);
  for (unsigned i = 0; i < options->models; i++)
    text = talloc_asprintf_append (text, "%s\"m%u\"", i == 0 ? "" : ", ", i);
  return talloc_asprintf_append (
      text,
      "]\n[limits]\nbody = \"1 MiB\"\ndefault_deadline = \"20 s\"\n"
      "maximum_deadline = \"120 s\"\n"
      "[admission]\npolicy = \"%s\"\norder = \"%s\"\n"
      "cold_requests = %d\ncold_tokens = %d\nmaximum_requests = %u\n"
      "maximum_tokens = %llu\nqueue_requests = %u\n"
      "slow_first_token = \"1.8 s\"\n"
      "[retry]\nbudget_ratio = 0.2\nattempts = 3\n"
      "[claims]\njournal = \"store\"\nretention = \"7 d\"\n"
      "linger = \"5 ms\"\n"
      "[placement]\npolicy = \"fixed\"\ninterval = \"10 s\"\n"
      "minimum_gain = 0.02\n",
      options->admission, options->order, MODEL_COLD_MAX_REQUESTS,
      MODEL_COLD_MAX_REQUESTS * REQUEST_LIMIT_TOKENS,
      options->maximum_requests, (unsigned long long)tokens,
      2 * options->maximum_requests);
}

static char *
settings_inventory (model_t *model, TALLOC_CTX *parent)
{
  char *text = talloc_strdup (
      parent, "name,address,zone,kind,service,model,group,rank\n");

  for (unsigned i = 0; i < model->options.entries; i++)
    text = talloc_asprintf_append (
        text, "e%03u,10.100.%u.%u:8080,z%u,entry,,,,\n", i, i / 250,
        i % 250 + 1, i % model->options.zones);
  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      const model_upstream_t *upstream = &model->upstreams[i];

      text = talloc_asprintf_append (
          text, "%s,10.%u.%u.%u:7000,z%u,model,s,m%u,,\n", upstream->name,
          upstream->zone, i / 250, i % 250 + 1, upstream->zone,
          upstream->model_index);
    }
  return text;
}

/* Return new settings with the next revision for the current state of the
   zones; NULL when they are invalid, with the findings printed.  */
settings_t *
model_settings (model_t *model)
{
  settings_parts_t *parts = settings_parts_create (model);
  findings_t *findings = findings_create (parts);
  settings_t *settings;

  parts->revision = ++model->revision;
  parts->change_id = "c";
  parts->changed_by = "model";
  parts->changed_why = "model";
  parts->changed_at = "2026-01-01T00:00:00Z";
  parts->rules = settings_rules (model, parts);
  parts->inventory = settings_inventory (model, parts);
  for (unsigned i = 0; i < model->options.zones; i++)
    {
      schema_string_t *name;

      if ((model->zones_out >> i & 1) == 0)
        continue;
      name = talloc_zero (parts, schema_string_t);
      name->text = talloc_asprintf (name, "z%u", i);
      STAILQ_INSERT_TAIL (&parts->zones_out, name, link);
    }
  settings = settings_from_parts (parts, "rules", "inventory", findings);
  if (settings == NULL)
    findings_print (findings, stderr);
  settings_parts_destroy (parts);
  return settings;
}
