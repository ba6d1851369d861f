#include "bench/relay_scenarios.h"

enum
{
  DURATION_MS = 24000,
  FAILURE_START_MS = 5000,
  FAILURE_END_MS = 11000,
  POWER_FAILURE_MS = 2000,
  RECOVERY_MS = 2000,   /* until a group has formed */
  REPORT_TIME_MS = 500, /* until all relays know that groups are closed */
  CLOSED_END_MS = 17000,
  /* A client that is refused by now returns before CLOSED_END_MS.  */
  CLOSED_COUNTED_MS = 12000,
  ACCOUNTS = 10,
  SWING_PERIOD_MS = 11000,
  COSTS_START_MS = 5000,
  /* Of an engine that waits for no others: two long prompts in a pass may
     exceed the gap limit.  */
  SINGLE_CHUNK = 2048
};

static const double normal_load = 0.75;

const relay_site_t relay_sites[RELAY_SITES]
    = { { 3, 16, 8 }, { 15, 64, 32 }, { 53, 192, 64 } };

static const relay_model_span_t failure_time
    = { FAILURE_START_MS, FAILURE_END_MS };

/* A pass of a full engine takes 0.7 of the gap limit.  */
static const relay_model_engine_t engine = {
  .stride = 5,
  .step_ms = 8,
  .per_seq_ms = 0.5,
  .context_per_k = 0.1,
  .read_per_s = 60000,
  .pairs_per_m = 2,
  .chunk = 1024,
  .kv_tokens = 40000,
};

/* Three classes at three quarters of the capacity, without failures.  */
relay_model_scenario_t
relay_scenario_classes (const relay_site_t *site)
{
  relay_model_scenario_t scenario = {
    .classes = { { "urgent", 0, 400, 120, 8000, 0.25 },
                 { "normal", 1, 400, 120, 8000, 0.35 },
                 { "batch", 2, 1000, 120, 8000, 0.4 } },
    .class_count = 3,
    .engine = engine,
    .cost = { .events = 23, .prompt_tokens = 674 },
    .recovery_ms = RECOVERY_MS,
    .clients_return = true,
    .counted = failure_time,
  };

  scenario.engine.group_size = site->group_size;
  return scenario;
}

/* The same while a third of the upstreams is out and the least urgent class
   has 2.4 times its rate, for 6 s, which are counted.  */
relay_model_scenario_t
relay_scenario_scarce (const relay_site_t *site)
{
  relay_model_scenario_t scenario = relay_scenario_classes (site);

  scenario.zone_out = failure_time;
  scenario.burst = failure_time;
  scenario.burst_factor = 2.4;
  return scenario;
}

/* The classes while an account of ten has ten times its share, for 6 s.  */
relay_model_scenario_t
relay_scenario_account (const relay_site_t *site)
{
  relay_model_scenario_t scenario = relay_scenario_classes (site);

  scenario.accounts = ACCOUNTS;
  scenario.first_account_time = failure_time;
  scenario.first_account_factor = 10;
  return scenario;
}

/* All relays and engines fail for 2 s, and clients come back; counts the 2 s
   after the groups have formed.  */
relay_model_scenario_t
relay_scenario_power (const relay_site_t *site)
{
  relay_model_scenario_t scenario = relay_scenario_classes (site);
  uint64_t formed_ms = FAILURE_START_MS + POWER_FAILURE_MS + RECOVERY_MS;

  scenario.power_failure
      = (relay_model_span_t){ FAILURE_START_MS,
                              FAILURE_START_MS + POWER_FAILURE_MS };
  scenario.counted = (relay_model_span_t){ formed_ms, formed_ms + 2000 };
  return scenario;
}

/* No group of the service is open for 12 s; counts requests from when a group
   should have formed.  */
relay_model_scenario_t
relay_scenario_closed (const relay_site_t *site)
{
  relay_model_scenario_t scenario = relay_scenario_classes (site);

  scenario.groups_closed
      = (relay_model_span_t){ FAILURE_START_MS, CLOSED_END_MS };
  scenario.counted
      = (relay_model_span_t){ FAILURE_START_MS + RECOVERY_MS + REPORT_TIME_MS,
                              CLOSED_COUNTED_MS };
  return scenario;
}

/* One group is 12 times as slow for 6 s.  */
relay_model_scenario_t
relay_scenario_slow (const relay_site_t *site)
{
  relay_model_scenario_t scenario = relay_scenario_classes (site);

  scenario.slow_group = failure_time;
  scenario.slow_factor = 12;
  return scenario;
}

/* Requests that look alike with costs that differ much, upstreams of three
   speeds, and a demand that varies.  HAS_LONG_PROMPTS: the prompts are longer,
   and the costs spread wider.  */
relay_model_scenario_t
relay_scenario_costs (const relay_site_t *site, bool has_long_prompts)
{
  relay_model_scenario_t scenario = {
    .classes = { { "all", 0, 400, 120, 8000, 1 } },
    .class_count = 1,
    .engine = engine,
    .cost = { .events = 23,
              .event_spread = has_long_prompts ? 1 : 0.7,
              .prompt_tokens = has_long_prompts ? 960 : 674,
              .prompt_spread = has_long_prompts ? 1 : 0.9,
              .estimate_error = 0.5 },
    .report_delay_ms = 200,
    .recovery_ms = RECOVERY_MS,
    .clients_return = true,
    .swing = 0.55,
    .swing_period_ms = SWING_PERIOD_MS,
    .counted = { COSTS_START_MS, COSTS_START_MS + SWING_PERIOD_MS },
  };

  scenario.engine.group_size = site->group_size;
  if (site->group_size == 1)
    scenario.engine.chunk = SINGLE_CHUNK;
  scenario.engine.speeds[0] = 0.8;
  scenario.engine.speeds[1] = 1;
  scenario.engine.speeds[2] = 1.25;
  return scenario;
}

/* Return the options for SCENARIO at SITE.  SCENARIO must outlive them.  */
relay_model_options_t
relay_scenario_options (const relay_site_t *site,
                        const relay_model_scenario_t *scenario, uint64_t seed)
{
  return (relay_model_options_t){ .relays = site->relays,
                                  .upstreams = site->upstreams,
                                  .slots = RELAY_SCENARIO_SLOTS,
                                  .load = normal_load,
                                  .duration_ms = DURATION_MS,
                                  .seed = seed,
                                  .scenario = scenario };
}
