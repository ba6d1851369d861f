#include "kernel/plugin.h"
#include "plugins/journal.h"

/* A journal that grants every claim.  It replaces the real journal to test
   that the simulation detects bookings that run twice.  */

struct journal
{
  int unused;
};

struct journal_claim
{
  journal_claim_done_t done;
  void *data;
};

static journal_t *
always_create (const journal_options_t *options)
{
  return talloc_zero (worker_events (options->worker), journal_t);
}

static void
always_destroy (journal_t *journal)
{
  talloc_free (journal);
}

static void
always_configure (journal_t *journal, const journal_limits_t *limits)
{
  (void)journal;
  (void)limits;
}

static void
always_grant (worker_t *worker, void *data)
{
  journal_claim_t *claim = data;

  (void)worker;
  claim->done (CLAIM_GRANTED, NULL, claim->data);
}

static journal_claim_t *
always_claim (journal_t *journal, const claim_request_t *request,
              journal_claim_done_t done, void *data)
{
  journal_claim_t *claim
      = talloc_zero (worker_events (request->worker), journal_claim_t);

  (void)journal;
  claim->done = done;
  claim->data = data;
  worker_timer_start (request->worker, claim, timespec_from_ms (0),
                      always_grant, claim);
  return claim;
}

static void
always_finish (journal_claim_t *claim, const claim_record_t *record)
{
  (void)record;
  talloc_free (claim);
}

static void
always_abandon (journal_claim_t *claim)
{
  talloc_free (claim);
}

static size_t
always_pending (journal_t *journal)
{
  (void)journal;
  return 0;
}

static const journal_ops_t always_ops = {
  .create = always_create,
  .destroy = always_destroy,
  .configure = always_configure,
  .claim = always_claim,
  .finish = always_finish,
  .abandon = always_abandon,
  .pending = always_pending,
};

PLUGIN_REGISTER (always, PLUGIN_JOURNAL, "always",
                 "grants every claim; used only to test the simulation",
                 &always_ops);
