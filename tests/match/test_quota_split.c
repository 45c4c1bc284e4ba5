/* Rate limit that is divided among placers: whatever tokens they take,
   request, transfer and lose, all together admit at most rate x time + burst
   and one overdraft each.  */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/cym_quota.h"
#include "cy_test.h"

#define PLACERS 4
#define MS      CY_NS_PER_MS

static struct cyi_document *
document_of (double rate, double burst)
{
  struct cyi_document *document = cyi_document_create (1);
  struct cyi_workspace *workspace = cyi_document_add_workspace (document);
  workspace->name = g_strdup ("w");
  workspace->rate = rate;
  workspace->burst = burst;
  return document;
}

/* One placer with the full share admits the rate, and no unknown workspace. */
START_TEST (test_alone)
{
  struct cyi_document *document = document_of (100, 20);
  struct cym_quota *quota = cym_quota_create ();
  cy_time_ns now = 1000 * CY_NS_PER_S;
  unsigned taken = 0;
  cym_quota_declare (quota, document, false, now);
  cym_quota_set_share (quota, 1, now);
  for (int i = 0; i < 10000; i++, now += MS)
    taken += cym_quota_take_token (quota, "w", now);
  ck_assert_uint_ge (taken, 990);
  ck_assert_uint_le (taken, 1000 + 20 + 10);
  ck_assert (!cym_quota_take_token (quota, "x", now));
  cym_quota_destroy (quota);
  cyi_document_destroy (document);
}
END_TEST

/* A workspace without a rate limit always gets a token.  */
START_TEST (test_no_limit)
{
  struct cyi_document *document = document_of (0, 0);
  struct cym_quota *quota = cym_quota_create ();
  cy_time_ns now = CY_NS_PER_S;
  cym_quota_declare (quota, document, false, now);
  for (int i = 0; i < 1000; i++)
    ck_assert (cym_quota_take_token (quota, "w", now));
  cym_quota_destroy (quota);
  cyi_document_destroy (document);
}
END_TEST

struct need
{
  double tokens;
};

static void
store_need (const char *workspace, double tokens, void *context)
{
  struct need *need = context;
  (void)workspace;
  need->tokens = tokens;
}

/* One round of token transfers between all placers.  One of ten transfers is
   lost in transit.  */
static void
transfer_tokens (struct cym_quota **quotas, const struct cy_random *random,
                 cy_time_ns now)
{
  for (int i = 0; i < PLACERS; i++)
    {
      struct need need = { 0 };
      cym_quota_each_need (quotas[i], now, store_need, &need);
      for (int j = 0; j < PLACERS && need.tokens > 0; j++)
        {
          if (j == i)
            continue;
          double transferred
              = cym_quota_donate (quotas[j], "w", need.tokens, now);
          if (cy_random_below (random, 10) > 0)
            cym_quota_receive (quotas[i], "w", transferred, now);
        }
    }
}

/* Seeded runs with a demand of up to twice the rate that moves between
   placers, and with lost transfers.  Guards against placers that together
   admit more than the limit.  */
START_TEST (test_fleet)
{
  uint64_t seed = 100 + (uint64_t)_i;
  struct cy_random random = cy_seeded_random (&seed);
  double rate = 20 + (double)cy_random_below (&random, 400);
  double burst = rate * (1 + (double)cy_random_below (&random, 3)) / 2;
  struct cyi_document *document = document_of (rate, burst);
  struct cym_quota *quotas[PLACERS];
  double weight[PLACERS] = { 0 };
  cy_time_ns now = 1000 * CY_NS_PER_S;
  unsigned taken[200] = { 0 };
  for (int i = 0; i < PLACERS; i++)
    {
      quotas[i] = cym_quota_create ();
      cym_quota_declare (quotas[i], document, false, now);
      cym_quota_set_share (quotas[i], 1.0 / PLACERS, now);
    }
  for (int step = 0; step < 20000; step++, now += MS)
    {
      if (step % 2000 == 0)
        for (int i = 0; i < PLACERS; i++)
          weight[i] = (double)cy_random_below (&random, 100) / 100;
      if (step % 250 == 0)
        transfer_tokens (quotas, &random, now);
      for (int i = 0; i < PLACERS; i++)
        if ((double)cy_random_below (&random, 1000) / 1000
            < rate * 2 * weight[i] / PLACERS / 1000)
          taken[step / 100] += cym_quota_take_token (quotas[i], "w", now);
    }
  /* Every window of five seconds.  */
  for (int first = 0; first + 50 <= 200; first++)
    {
      unsigned sum = 0;
      for (int i = first; i < first + 50; i++)
        sum += taken[i];
      double max_taken
          = rate * 5 + burst + rate * CYM_OVERDRAFT_MS / 1000.0 + PLACERS;
      ck_assert_msg (sum <= max_taken, "seed %d: %u of %.0f", _i, sum,
                     max_taken);
    }
  for (int i = 0; i < PLACERS; i++)
    cym_quota_destroy (quotas[i]);
  cyi_document_destroy (document);
}
END_TEST

/* All requests of a workspace reach one placer: token transfers from the
   others must supply it.  */
START_TEST (test_one_sided)
{
  struct cyi_document *document = document_of (200, 200);
  struct cym_quota *quotas[PLACERS];
  uint64_t seed = 3;
  struct cy_random random = cy_seeded_random (&seed);
  cy_time_ns now = 1000 * CY_NS_PER_S;
  unsigned request_count = 0;
  unsigned taken = 0;
  for (int i = 0; i < PLACERS; i++)
    {
      quotas[i] = cym_quota_create ();
      cym_quota_declare (quotas[i], document, false, now);
      cym_quota_set_share (quotas[i], 1.0 / PLACERS, now);
    }
  for (int step = 0; step < 30000; step++, now += MS)
    {
      if (step % 250 == 0)
        transfer_tokens (quotas, &random, now);
      if (cy_random_below (&random, 1000) >= 125 || step < 5000)
        continue;
      request_count++;
      taken += cym_quota_take_token (quotas[0], "w", now);
    }
  ck_assert_msg (taken > request_count * 0.95, "%u of %u", taken,
                 request_count);
  for (int i = 0; i < PLACERS; i++)
    cym_quota_destroy (quotas[i]);
  cyi_document_destroy (document);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quota_split");
  TCase *all = tcase_create ("all");
  tcase_set_timeout (all, 60);
  tcase_add_test (all, test_alone);
  tcase_add_test (all, test_no_limit);
  tcase_add_loop_test (all, test_fleet, 0, 100);
  tcase_add_test (all, test_one_sided);
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}
