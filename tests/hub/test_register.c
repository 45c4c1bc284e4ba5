/* Which announcement wins: a table of what is said of one server or address,
   in the order in which it is heard.  */

#include <glib.h>
#include <string.h>

#include "core/cyc_register.h"
#include "cy_test.h"

struct said
{
  const char *id; /* NULL: end of the row */
  uint32_t port;
  uint64_t born;
  uint64_t sequence;
  char state; /* r ready, d draining, g gone */
  enum cyc_register_effect news;
};

static const struct
{
  const char *what;
  struct said said[5];
  const char *live; /* ids that may be used in the end, in order */
} rows[] = {
  { "one server",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 2, 'r', CYC_RENEWED } },
    "a" },
  { "drains, then an old word comes late",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 3, 'd', CYC_CHANGED },
      { "a", 1, 10, 2, 'r', CYC_STALE } },
    "" },
  { "gone for good",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 0, 'g', CYC_CHANGED },
      { "a", 1, 10, 9, 'r', CYC_STALE } },
    "" },
  { "starts again under its name",
    { { "a", 1, 10, 8, 'd', CYC_CHANGED },
      { "a", 1, 20, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 9, 'r', CYC_STALE } },
    "a" },
  { "gone, then it starts again",
    { { "a", 1, 10, 8, 'g', CYC_CHANGED },
      { "a", 1, 20, 1, 'r', CYC_CHANGED } },
    "a" },
  { "address goes to a later one",
    { { "a", 1, 10, 8, 'r', CYC_CHANGED },
      { "b", 1, 20, 1, 'r', CYC_CHANGED } },
    "b" },
  { "a word of the address's former user comes late",
    { { "b", 1, 20, 1, 'r', CYC_CHANGED }, { "a", 1, 10, 8, 'r', CYC_STALE } },
    "b" },
  { "moves to another address",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 2, 10, 2, 'r', CYC_CHANGED } },
    "a" },
  { "leaves without being known",
    { { "a", 1, 10, 1, 'g', CYC_CHANGED }, { "a", 1, 10, 2, 'r', CYC_STALE } },
    "" },
  { "two servers",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "b", 2, 10, 1, 'r', CYC_CHANGED } },
    "ab" },
};

static enum cyc_register_effect
say (struct cyc_register *reg, const struct said *said, cy_time_ns now)
{
  Cy__Instance facts = CY__INSTANCE__INIT;
  facts.id = (char *)said->id;
  facts.service = (char *)"s";
  facts.host = (char *)"10.0.0.1";
  facts.zone = (char *)"z";
  facts.port = said->port;
  facts.born = said->born;
  facts.sequence = said->sequence;
  facts.slots = 4;
  facts.draining = said->state == 'd';
  facts.gone = said->state == 'g';
  return cyc_register_instance (reg, &facts, true, now);
}

START_TEST (test_order)
{
  struct cyc_register *reg = cyc_register_create ();
  cy_time_ns now = CY_NS_PER_S;
  char live[8] = "";
  for (const struct said *said = rows[_i].said; said->id != NULL; said++)
    {
      ck_assert_msg (say (reg, said, now) == said->news, "%s: word %d",
                     rows[_i].what, (int)(said - rows[_i].said));
      now += CY_NS_PER_MS;
    }
  for (char id = 'a'; id <= 'b'; id++)
    {
      char name[2] = { id, '\0' };
      const struct cyc_instance *held = cyc_register_find (reg, name);
      if (held != NULL && !held->facts->gone && !held->facts->draining)
        g_strlcat (live, name, sizeof live);
    }
  ck_assert_msg (strcmp (live, rows[_i].live) == 0, "%s: \"%s\" live",
                 rows[_i].what, live);
  cyc_register_destroy (reg);
}
END_TEST

START_TEST (test_expiry)
{
  struct cyc_register *reg = cyc_register_create ();
  struct said said = { "a", 1, 10, 1, 'r', CYC_CHANGED };
  cy_time_ns now = CY_NS_PER_S;
  say (reg, &said, now);
  ck_assert_uint_eq (cyc_register_expire (reg, now + 5 * CY_NS_PER_S,
                                          8 * CY_NS_PER_S, CY_NS_PER_S),
                     0);
  cyc_register_renew (reg, cyc_register_find (reg, "a")->hash,
                      now + 6 * CY_NS_PER_S);
  ck_assert_uint_eq (cyc_register_expire (reg, now + 12 * CY_NS_PER_S,
                                          8 * CY_NS_PER_S, CY_NS_PER_S),
                     0);
  ck_assert_uint_eq (cyc_register_expire (reg, now + 15 * CY_NS_PER_S,
                                          8 * CY_NS_PER_S, CY_NS_PER_S),
                     1);
  ck_assert_ptr_null (cyc_register_find (reg, "a"));
  cyc_register_destroy (reg);
}
END_TEST

START_TEST (test_entry_incarnations)
{
  struct cyc_register *reg = cyc_register_create ();
  Cy__EntryVm facts = CY__ENTRY_VM__INIT;
  facts.vm = (char *)"e1";
  facts.zone = facts.region = facts.host = (char *)"z";
  facts.incarnation = 7;
  facts.sequence = 3;
  facts.ready = true;
  ck_assert_int_eq (cyc_register_entry (reg, &facts, true, 1), CYC_CHANGED);
  facts.sequence = 2;
  facts.ready = false;
  ck_assert_int_eq (cyc_register_entry (reg, &facts, false, 2), CYC_STALE);
  facts.incarnation = 9;
  facts.sequence = 1;
  /* Heard directly before: what others say of another start is older.  */
  ck_assert_int_eq (cyc_register_entry (reg, &facts, false, 3), CYC_STALE);
  ck_assert_int_eq (cyc_register_entry (reg, &facts, true, 4), CYC_CHANGED);
  const struct cyc_entry *held = CK_LIST_FIRST (cyc_register_entries (reg));
  ck_assert (!held->facts->ready);
  cyc_register_destroy (reg);
}
END_TEST

#define NOW_MS INT64_C (1800000000000)
#define HOUR   INT64_C (3600000)

static char long_name[CYC_NAME_MAX_BYTES + 2];

/* Entries of another writer that no backend server says of itself.  */
static const struct
{
  const char *what;
  const char *id;
  const char *service;
  const char *zone;
  uint32_t port;
  uint64_t born;
  uint64_t sequence;
  bool gone;
  const char *flaw; /* NULL: it is fine */
} odd[] = {
  { "a good one", "a", "s", "z", 1, NOW_MS, 1, false, NULL },
  { "a clock that is ahead", "a", "s", "z", 1, NOW_MS + HOUR, 1, false, NULL },
  { "born tomorrow", "a", "s", "z", 1, NOW_MS + 24 * HOUR, 1, false, "born" },
  { "born at the end of time", "a", "s", "z", 1, INT64_MAX, 1, false, "born" },
  { "born at the end of time, gone", "a", "", "", 0, INT64_MAX, 0, true,
    "born" },
  { "sequence too large", "a", "s", "z", 1, NOW_MS, INT64_MAX, false,
    "sequence" },
  { "a line end in the id", "a\r\nX: y", "s", "z", 1, NOW_MS, 1, false, "id" },
  { "bytes that are no text", "\xff\xfe", "s", "z", 1, NOW_MS, 1, false,
    "id" },
  { "no id", "", "s", "z", 1, NOW_MS, 1, true, "id" },
  { "a long service", "a", long_name, "z", 1, NOW_MS, 1, false, "service" },
  { "no zone", "a", "s", "", 1, NOW_MS, 1, false, "zone" },
  { "port 0", "a", "s", "z", 0, NOW_MS, 1, false, "port" },
  { "port 65536", "a", "s", "z", 65536, NOW_MS, 1, false, "port" },
  { "one that leaves says no more than its id", "a", "", "", 0, 0, 0, true,
    NULL },
};

/* Guards against one odd entry that takes a server's address or name for good,
   or ends the processes that read it.  */
START_TEST (test_flaw)
{
  Cy__Instance facts = CY__INSTANCE__INIT;
  memset (long_name, 'x', sizeof long_name - 1);
  facts.id = (char *)odd[_i].id;
  facts.service = (char *)odd[_i].service;
  facts.zone = (char *)odd[_i].zone;
  facts.host = (char *)"10.0.0.1";
  facts.port = odd[_i].port;
  facts.born = odd[_i].born;
  facts.sequence = odd[_i].sequence;
  facts.gone = odd[_i].gone;
  const char *flaw = cyc_register_invalid_field (&facts, NOW_MS);
  ck_assert_msg (g_strcmp0 (flaw, odd[_i].flaw) == 0, "%s: %s", odd[_i].what,
                 flaw == NULL ? "none" : flaw);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("register");
  TCase *all = tcase_create ("all");
  tcase_add_loop_test (all, test_order, 0, G_N_ELEMENTS (rows));
  tcase_add_loop_test (all, test_flaw, 0, G_N_ELEMENTS (odd));
  tcase_add_test (all, test_expiry);
  tcase_add_test (all, test_entry_incarnations);
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}
