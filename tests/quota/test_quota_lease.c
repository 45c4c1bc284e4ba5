/* Leases between one grantor and one holder: the end of a lease at both sides,
   and the effect of lost and duplicated messages.  */

#include <glib.h>

#include "core/cyf_freshness.h"
#include "core/cyq_node.h"
#include "cy_test.h"

#define WORKSPACE "w"
#define MS        CY_NS_PER_MS
#define START     (1000 * CY_NS_PER_S)

static struct cyq_node *
make_root (void)
{
  struct cyq_options options
      = { .is_root = true, .epoch = 7, .term_ms = CYQ_ROOT_TERM_MS };
  struct cyq_node *root = cyq_node_create (&options);
  cyq_node_tick (root, START);
  cyq_node_set_authority_end (root, START + CYQ_ROOT_TERM_MS * MS);
  cyq_node_declare (root, WORKSPACE, 100 * CYQ_ONE_REQUEST,
                    50 * CYQ_ONE_REQUEST, true, START);
  return root;
}

static struct cyq_node *
make_holder (uint64_t incarnation)
{
  struct cyq_options options = { .may_claim = true,
                                 .incarnation = incarnation,
                                 .epoch = 1,
                                 .term_ms = CYQ_RELAY_TERM_MS };
  return cyq_node_create (&options);
}

/* HOLDER requests COUNT tokens at REQUESTED_AT; ROOT processes the request at
   GRANTED_AT.  Returns the answer, which is not delivered yet.  */
static Cy__QuotaAnswer *
answer_request (struct cyq_node *root, struct cyq_node *holder, uint32_t count,
                cy_time_ns requested_at, cy_time_ns granted_at)
{
  cyq_node_set_waiting (holder, WORKSPACE, count, requested_at);
  Cy__QuotaAsk *ask = cyq_node_request (holder, requested_at);
  ck_assert_ptr_nonnull (ask);
  Cy__QuotaAnswer *answer = cyq_node_grant (root, "h", ask, granted_at);
  cy__quota_ask__free_unpacked (ask, NULL);
  return answer;
}

static int
take_all (struct cyq_node *holder, cy_time_ns now)
{
  int count = 0;
  while (cyq_node_take_token (holder, WORKSPACE, now))
    count++;
  return count;
}

/* Transit times of a request and of its answer.  */
struct delay
{
  int there_ms;
  int back_ms;
};

static const struct delay delays[]
    = { { 0, 0 }, { 1, 1 }, { 500, 0 }, { 0, 900 }, { 700, 700 } };

/* The holder counts its lease from the send time of its request and narrows
   the lease by the drift bound.  With any transit times the holder's lease
   must end before the grantor's, by at least the drift bound.  */
START_TEST (test_holder_ends_first)
{
  const struct delay *row = &delays[_i];
  struct cyq_node *root = make_root ();
  struct cyq_node *holder = make_holder (3);
  cy_time_ns granted_at = START + row->there_ms * MS;
  Cy__QuotaAnswer *answer
      = answer_request (root, holder, 10, START, granted_at);
  ck_assert_int_eq (
      cyq_node_receive_answer (holder, answer, granted_at + row->back_ms * MS),
      CY_OK);
  cy_time_ns end = cyq_node_lease_end (holder);
  cy_time_ns term = (cy_time_ns)answer->term_ms * MS;
  ck_assert_int_eq (end, START + cyf_narrow_span (term));
  ck_assert (end <= granted_at + term - term / 2000);
  ck_assert (cyq_node_take_token (holder, WORKSPACE, end - 1));
  ck_assert (!cyq_node_take_token (holder, WORKSPACE, end));
  cy__quota_answer__free_unpacked (answer, NULL);
  cyq_node_destroy (holder);
  cyq_node_destroy (root);
}
END_TEST

/* A lease never outlives the root's authority.  */
START_TEST (test_term_ends_with_the_root)
{
  struct cyq_node *root = make_root ();
  struct cyq_node *holder = make_holder (3);
  cy_time_ns late = START + 3500 * MS;
  Cy__QuotaAnswer *answer = answer_request (root, holder, 10, late, late);
  ck_assert_uint_eq (answer->term_ms, CYQ_ROOT_TERM_MS - 3500);
  cy__quota_answer__free_unpacked (answer, NULL);
  cy_time_ns after = START + CYQ_ROOT_TERM_MS * MS;
  cyq_node_set_waiting (holder, WORKSPACE, 20, after);
  answer = answer_request (root, holder, 20, after + 2000 * MS,
                           after + 2000 * MS);
  ck_assert_uint_eq (answer->term_ms, 0);
  ck_assert_uint_eq (answer->n_items, 0);
  cy__quota_answer__free_unpacked (answer, NULL);
  cyq_node_destroy (holder);
  cyq_node_destroy (root);
}
END_TEST

/* A duplicated answer grants once; the next answer carries the grant of a lost
   one.  */
START_TEST (test_repeated_and_lost_answers)
{
  struct cyq_node *root = make_root ();
  struct cyq_node *holder = make_holder (3);
  Cy__QuotaAnswer *lost = answer_request (root, holder, 10, START, START);
  cy__quota_answer__free_unpacked (lost, NULL);
  cy_time_ns later = START + 300 * MS;
  Cy__QuotaAnswer *answer = answer_request (root, holder, 12, later, later);
  ck_assert_int_eq (cyq_node_receive_answer (holder, answer, later), CY_OK);
  cyq_node_receive_answer (holder, answer, later);
  int taken = take_all (holder, later);
  ck_assert_int_ge (taken, 12);
  ck_assert_int_le (taken, 50);
  struct cyq_share held = cyq_node_held (holder, WORKSPACE);
  struct cyq_share all = cyq_node_held (root, WORKSPACE);
  ck_assert_int_eq (all.rate, 100 * CYQ_ONE_REQUEST);
  ck_assert_int_eq (all.burst, 50 * CYQ_ONE_REQUEST);
  ck_assert_int_le (held.burst, all.burst);
  cy__quota_answer__free_unpacked (answer, NULL);
  cyq_node_destroy (holder);
  cyq_node_destroy (root);
}
END_TEST

struct limit_row
{
  int64_t rate;
  int64_t burst;
  uint32_t wanted;
  int admitted;
};

/* Limit values: a burst below one request admits nothing, a rate of zero
   admits the burst once.  */
static const struct limit_row limit_rows[] = {
  { 0, 0, 5, 0 },
  { 100 * CYQ_ONE_REQUEST, 0, 5, 0 },
  { 100 * CYQ_ONE_REQUEST, CYQ_ONE_REQUEST / 2, 5, 0 },
  { 0, 3 * CYQ_ONE_REQUEST, 5, 3 },
  { 0, 3 * CYQ_ONE_REQUEST + CYQ_ONE_REQUEST / 2, 5, 3 },
  { 1, CYQ_ONE_REQUEST, 5, 1 },
};

START_TEST (test_limits_at_the_edges)
{
  const struct limit_row *row = &limit_rows[_i];
  struct cyq_options options
      = { .is_root = true, .epoch = 7, .term_ms = CYQ_ROOT_TERM_MS };
  struct cyq_node *root = cyq_node_create (&options);
  struct cyq_node *holder = make_holder (3);
  cyq_node_tick (root, START);
  cyq_node_set_authority_end (root, START + CYQ_ROOT_TERM_MS * MS);
  cyq_node_declare (root, WORKSPACE, row->rate, row->burst, true, START);
  Cy__QuotaAnswer *answer
      = answer_request (root, holder, row->wanted, START, START);
  ck_assert_int_eq (cyq_node_receive_answer (holder, answer, START), CY_OK);
  ck_assert_int_eq (take_all (holder, START), row->admitted);
  cy__quota_answer__free_unpacked (answer, NULL);
  cyq_node_destroy (holder);
  cyq_node_destroy (root);
}
END_TEST

/* Delivers a request of HOLDER to GRANTOR and the answer to HOLDER, without
   transit time.  */
static void
deliver_request (struct cyq_node *grantor, const char *name,
                 struct cyq_node *holder, cy_time_ns now)
{
  Cy__QuotaAsk *ask = cyq_node_request (holder, now);
  ck_assert_ptr_nonnull (ask);
  Cy__QuotaAnswer *answer = cyq_node_grant (grantor, name, ask, now);
  ck_assert_int_eq (cyq_node_receive_answer (holder, answer, now), CY_OK);
  cy__quota_ask__free_unpacked (ask, NULL);
  cy__quota_answer__free_unpacked (answer, NULL);
}

/* Delivers a pushed answer of GRANTOR to HOLDER.  */
static void
deliver_push (struct cyq_node *grantor, const char *name,
              struct cyq_node *holder, cy_time_ns now)
{
  Cy__QuotaAnswer *answer = cyq_node_push (grantor, name, now);
  ck_assert_ptr_nonnull (answer);
  ck_assert_int_eq (cyq_node_receive_answer (holder, answer, now), CY_OK);
  cy__quota_answer__free_unpacked (answer, NULL);
}

/* A workspace's limit, whose floor the relay holds, and the requests that
   arrive at a leaf at once.  */
struct parts_row
{
  int burst;   /* requests */
  int waiting; /* requests */
  int rate;    /* millionths of a request per second */
};

static const struct parts_row parts_rows[]
    = { { 40, 60, 1000 }, { 40, 60, 0 },    { 40, 40, 1000 },
        { 36, 90, 1000 }, { 100, 99, 500 }, { 13, 13, 1000 } };

/* A burst that reaches its holder in two answers is admitted completely.  The
   holder returns the burst that the first answer's tokens occupied; it must
   keep the second answer's tokens, for which requests wait.  */
START_TEST (test_burst_in_two_answers)
{
  const struct parts_row *row = &parts_rows[_i];
  struct cyq_options options
      = { .is_root = true, .epoch = 7, .term_ms = CYQ_ROOT_TERM_MS };
  struct cyq_node *root = cyq_node_create (&options);
  struct cyq_node *relay = make_holder (3);
  struct cyq_node *leaf
      = cyq_node_create (&(struct cyq_options){ .incarnation = 4 });
  cyq_node_tick (root, START);
  cyq_node_set_authority_end (root, START + CYQ_ROOT_TERM_MS * MS);
  cyq_node_declare (root, WORKSPACE, row->rate, row->burst * CYQ_ONE_REQUEST,
                    true, START);
  cy_time_ns now = START;
  deliver_request (root, "z", relay, now);
  cyq_node_tick (root, now);
  deliver_push (root, "z", relay, now); /* the floor */
  cyq_node_set_waiting (leaf, WORKSPACE, (uint32_t)row->waiting, now);
  deliver_request (relay, "e", leaf, now);
  int admitted = take_all (leaf, now);
  ck_assert_int_lt (admitted, row->burst);
  cyq_node_set_waiting (leaf, WORKSPACE, (uint32_t)(row->waiting - admitted),
                        now);
  now += 10 * MS;
  deliver_request (root, "z", relay, now);
  deliver_push (relay, "e", leaf, now);
  admitted += take_all (leaf, now);
  ck_assert_int_eq (admitted, MIN (row->burst, row->waiting));
  cyq_node_destroy (leaf);
  cyq_node_destroy (relay);
  cyq_node_destroy (root);
}
END_TEST

/* A workspace that is not declared gets no tokens.  */
START_TEST (test_unknown_workspace)
{
  struct cyq_node *root = make_root ();
  struct cyq_node *holder = make_holder (3);
  cyq_node_set_waiting (holder, "unknown", 3, START);
  Cy__QuotaAsk *ask = cyq_node_request (holder, START);
  Cy__QuotaAnswer *answer = cyq_node_grant (root, "h", ask, START);
  cyq_node_receive_answer (holder, answer, START);
  ck_assert (!cyq_node_take_token (holder, "unknown", START));
  cy__quota_ask__free_unpacked (ask, NULL);
  cy__quota_answer__free_unpacked (answer, NULL);
  cyq_node_destroy (holder);
  cyq_node_destroy (root);
}
END_TEST

/* A planned stop returns all shares, including the tokens.  */
START_TEST (test_return_all)
{
  struct cyq_node *root = make_root ();
  struct cyq_node *holder = make_holder (3);
  Cy__QuotaAnswer *answer = answer_request (root, holder, 50, START, START);
  ck_assert_int_eq (cyq_node_receive_answer (holder, answer, START), CY_OK);
  cy__quota_answer__free_unpacked (answer, NULL);
  ck_assert (!cyq_node_return_all (holder, START));
  cy_time_ns later = START + 100 * MS;
  answer = answer_request (root, holder, 0, later, later);
  ck_assert_int_eq (cyq_node_receive_answer (holder, answer, later), CY_OK);
  ck_assert (cyq_node_return_all (holder, later));
  cy__quota_answer__free_unpacked (answer, NULL);
  struct cyq_node *other = make_holder (4);
  answer = answer_request (root, other, 50, later, later);
  ck_assert_int_eq (cyq_node_receive_answer (other, answer, later), CY_OK);
  ck_assert_int_eq (take_all (other, later), 50);
  cy__quota_answer__free_unpacked (answer, NULL);
  cyq_node_destroy (other);
  cyq_node_destroy (holder);
  cyq_node_destroy (root);
}
END_TEST

/* A root without a quorum must not grant the shares of an expired lease again:
   the holder may have claimed them at the next root.  */
START_TEST (test_stale_root_keeps_what_expired)
{
  struct cyq_node *root = make_root ();
  struct cyq_node *holder = make_holder (3);
  Cy__QuotaAnswer *answer = answer_request (root, holder, 50, START, START);
  ck_assert_int_eq (cyq_node_receive_answer (holder, answer, START), CY_OK);
  cy__quota_answer__free_unpacked (answer, NULL);
  cy_time_ns term = CYQ_ROOT_TERM_MS * MS;
  cyq_node_set_authority_end (root,
                              START + term / 2 + term); /* its last quorum */
  cy_time_ns expired = START + term + 100 * MS;
  cyq_node_tick (root, expired);
  expired += 200 * MS; /* time to fill */
  struct cyq_node *other = make_holder (4);
  answer = answer_request (root, other, 50, expired, expired);
  cyq_node_receive_answer (other, answer, expired);
  ck_assert_int_eq (take_all (other, expired), 0);
  cy__quota_answer__free_unpacked (answer, NULL);
  cyq_node_set_authority_end (root, expired + term
                                        + 10 * MS); /* a quorum since then */
  expired += 50 * MS;
  cyq_node_tick (root, expired);
  ck_assert_int_eq (cyq_node_held (root, WORKSPACE).burst,
                    50 * CYQ_ONE_REQUEST);
  cyq_node_destroy (other);
  cyq_node_destroy (holder);
  cyq_node_destroy (root);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quota_lease");
  TCase *tcase = tcase_create ("lease");
  tcase_add_loop_test (tcase, test_holder_ends_first, 0,
                       G_N_ELEMENTS (delays));
  tcase_add_test (tcase, test_term_ends_with_the_root);
  tcase_add_test (tcase, test_repeated_and_lost_answers);
  tcase_add_loop_test (tcase, test_limits_at_the_edges, 0,
                       G_N_ELEMENTS (limit_rows));
  tcase_add_loop_test (tcase, test_burst_in_two_answers, 0,
                       G_N_ELEMENTS (parts_rows));
  tcase_add_test (tcase, test_unknown_workspace);
  tcase_add_test (tcase, test_return_all);
  tcase_add_test (tcase, test_stale_root_keeps_what_expired);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
