#ifndef SISKIN_BENCH_RELAY_SCENARIOS_H
#define SISKIN_BENCH_RELAY_SCENARIOS_H

#include "bench/relay_model.h"

/* Loads for the measurement programs and the tests of the relay model.  */

/* A site: relays, upstreams, and the upstreams of a group.  */
typedef struct relay_site
{
  unsigned relays;
  unsigned upstreams;
  unsigned group_size;
} relay_site_t;

enum
{
  RELAY_SITES = 3,
  RELAY_SCENARIO_SLOTS = 12
};

extern const relay_site_t relay_sites[RELAY_SITES];

/* Three classes at three quarters of the capacity, without failures.  */
relay_model_scenario_t relay_scenario_classes (const relay_site_t *site);
/* The same while a third of the upstreams is out and the least urgent class
   has 2.4 times its rate, for 6 s, which are counted.  */
relay_model_scenario_t relay_scenario_scarce (const relay_site_t *site);
/* The classes while an account of ten has ten times its share, for 6 s.  */
relay_model_scenario_t relay_scenario_account (const relay_site_t *site);
/* All relays and engines fail for 2 s, and clients come back; counts the 2 s
   after the groups have formed.  */
relay_model_scenario_t relay_scenario_power (const relay_site_t *site);
/* No group of the service is open for 12 s; counts requests from when a group
   should have formed.  */
relay_model_scenario_t relay_scenario_closed (const relay_site_t *site);
/* One group is 12 times as slow for 6 s.  */
relay_model_scenario_t relay_scenario_slow (const relay_site_t *site);
/* Requests that look alike with costs that differ much, upstreams of three
   speeds, and a demand that varies.  HAS_LONG_PROMPTS: the
   prompts are longer, and the costs spread wider.  */
relay_model_scenario_t relay_scenario_costs (const relay_site_t *site,
                                             bool has_long_prompts);
/* Returns the options for SCENARIO at SITE.  SCENARIO must outlive them.  */
relay_model_options_t
relay_scenario_options (const relay_site_t *site,
                        const relay_model_scenario_t *scenario, uint64_t seed);

#endif
