/* Order of announcements: which one wins when several are made for one server
   or address, in the order in which they are received.  A late announcement
   must never bring back a server that has left or was replaced.  */

#include <glib.h>
#include <string.h>

#include "core/cyc_register.h"
#include "cy_test.h"
#include "net/cyn_frame.h"

struct announcement
{
  const char *id; /* NULL: end of the list */
  uint32_t port;
  uint64_t born;
  uint64_t sequence;
  char state; /* r ready, d draining, g gone, R ready, forwarded with the
                 report that it leaves, l reports that in an answer */
  enum cyc_register_effect effect;
};

static const struct
{
  const char *name;
  struct announcement announcements[6];
  const char *live; /* ids that may be used at the end, sorted */
} rows[] = {
  { "one server",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 2, 'r', CYC_RENEWED } },
    "a" },
  { "drains, then an older announcement arrives late",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 3, 'd', CYC_CHANGED },
      { "a", 1, 10, 2, 'r', CYC_STALE } },
    "" },
  { "late announcement of a server that has left",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 0, 'g', CYC_CHANGED },
      { "a", 1, 10, 9, 'r', CYC_STALE } },
    "" },
  { "restarts under the same id",
    { { "a", 1, 10, 8, 'd', CYC_CHANGED },
      { "a", 1, 20, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 9, 'r', CYC_STALE } },
    "a" },
  { "leaves, then restarts",
    { { "a", 1, 10, 8, 'g', CYC_CHANGED },
      { "a", 1, 20, 1, 'r', CYC_CHANGED } },
    "a" },
  { "two servers claim an address",
    { { "a", 1, 10, 8, 'r', CYC_CHANGED },
      { "b", 1, 20, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 9, 'r', CYC_RENEWED } },
    "ab" },
  { "two servers claim an address, received in another order",
    { { "b", 1, 20, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 8, 'r', CYC_CHANGED },
      { "b", 1, 20, 2, 'r', CYC_RENEWED } },
    "ab" },
  { "address of a server that has left is used again",
    { { "a", 1, 10, 8, 'r', CYC_CHANGED },
      { "a", 1, 10, 9, 'g', CYC_CHANGED },
      { "b", 1, 20, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 8, 'r', CYC_STALE } },
    "b" },
  { "moves to another address",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 2, 10, 2, 'r', CYC_CHANGED } },
    "a" },
  { "reports that it leaves, then announces itself as before",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 0, 'l', CYC_CHANGED },
      { "a", 1, 10, 2, 'r', CYC_RENEWED } },
    "" },
  { "reports that it leaves twice, then restarts",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 0, 'l', CYC_CHANGED },
      { "a", 1, 10, 0, 'l', CYC_RENEWED },
      { "a", 1, 20, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 0, 'l', CYC_STALE } },
    "a" },
  { "another process knows that it leaves, from an older announcement",
    { { "a", 1, 10, 5, 'r', CYC_CHANGED },
      { "a", 1, 10, 4, 'R', CYC_CHANGED },
      { "a", 1, 10, 6, 'r', CYC_RENEWED } },
    "" },
  { "an unknown server reports that it leaves",
    { { "a", 1, 10, 0, 'l', CYC_STALE }, { "a", 1, 10, 1, 'r', CYC_CHANGED } },
    "a" },
  { "unknown server leaves",
    { { "a", 1, 10, 1, 'g', CYC_CHANGED }, { "a", 1, 10, 2, 'r', CYC_STALE } },
    "" },
  { "a later incarnation leaves before it has announced itself here",
    { { "a", 1, 10, 1, 'g', CYC_CHANGED },
      { "a", 1, 20, 3, 'g', CYC_CHANGED },
      { "a", 1, 20, 2, 'r', CYC_STALE } },
    "" },
  { "an earlier incarnation leaves late",
    { { "a", 1, 20, 1, 'r', CYC_CHANGED }, { "a", 1, 10, 9, 'g', CYC_STALE } },
    "a" },
  { "drains after its address went to a later server",
    { { "b", 1, 20, 1, 'r', CYC_CHANGED },
      { "a", 1, 10, 9, 'd', CYC_CHANGED },
      { "a", 2, 10, 8, 'r', CYC_STALE } },
    "b" },
  { "without an order, a server that drains does not take an address",
    { { "b", 1, 0, 1, 'r', CYC_CHANGED }, { "a", 1, 0, 9, 'd', CYC_CHANGED } },
    "b" },
  { "without an order, an address of a server that drains is taken",
    { { "a", 1, 0, 9, 'd', CYC_CHANGED }, { "b", 1, 0, 1, 'r', CYC_CHANGED } },
    "b" },
  { "two servers",
    { { "a", 1, 10, 1, 'r', CYC_CHANGED },
      { "b", 2, 10, 1, 'r', CYC_CHANGED } },
    "ab" },
};

static enum cyc_register_effect
announce (struct cyc_register *reg, const struct announcement *announcement,
          cy_time_ns now)
{
  Cy__Instance info = CY__INSTANCE__INIT;
  info.id = (char *)announcement->id;
  info.service = (char *)"s";
  info.host = (char *)"10.0.0.1";
  info.zone = (char *)"z";
  info.port = announcement->port;
  info.born = announcement->born;
  info.sequence = announcement->sequence;
  info.slots = 4;
  info.draining = announcement->state == 'd';
  info.gone = announcement->state == 'g';
  info.leaving = announcement->state == 'R';
  if (announcement->state == 'l')
    return cyc_register_leaving (reg, info.id, info.born);
  return cyc_register_instance (reg, &info, true, now);
}

START_TEST (test_order)
{
  struct cyc_register *reg = cyc_register_create ();
  cy_time_ns now = CY_NS_PER_S;
  char live[8] = "";
  for (const struct announcement *announcement = rows[_i].announcements;
       announcement->id != NULL; announcement++)
    {
      ck_assert_msg (announce (reg, announcement, now) == announcement->effect,
                     "%s: announcement %d", rows[_i].name,
                     (int)(announcement - rows[_i].announcements));
      now += CY_NS_PER_MS;
    }
  for (char id = 'a'; id <= 'b'; id++)
    {
      char name[2] = { id, '\0' };
      const struct cyc_instance *held = cyc_register_find (reg, name);
      if (held != NULL && !held->info->gone && !held->info->draining
          && !held->info->leaving)
        g_strlcat (live, name, sizeof live);
    }
  ck_assert_msg (strcmp (live, rows[_i].live) == 0, "%s: \"%s\" live",
                 rows[_i].name, live);
  cyc_register_destroy (reg);
}
END_TEST

START_TEST (test_expiry)
{
  struct cyc_register *reg = cyc_register_create ();
  struct announcement announcement = { "a", 1, 10, 1, 'r', CYC_CHANGED };
  cy_time_ns now = CY_NS_PER_S;
  announce (reg, &announcement, now);
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

/* Servers that depart and are silent then, and an announcement of before that
   arrives LATE_S after the departure.  */
static const struct
{
  char state; /* as in struct announcement */
  int late_s;
} late_rows[] = {
  { 'g', 3 }, { 'g', 8 },  { 'g', 30 }, { 'd', 3 },  { 'd', 8 },
  { 'd', 9 }, { 'd', 30 }, { 'l', 3 },  { 'l', 30 },
};

/* Guards against a departure that is dropped with its silent server before the
   late announcements of that server have arrived.  */
START_TEST (test_late)
{
  struct cyc_register *reg = cyc_register_create ();
  struct announcement ready = { "a", 1, 10, 5, 'r', CYC_CHANGED };
  struct announcement departure
      = { "a", 1, 10, 7, late_rows[_i].state, CYC_CHANGED };
  struct announcement late = { "a", 1, 10, 6, 'r', CYC_STALE };
  struct announcement restarted = { "a", 1, 20, 1, 'r', CYC_CHANGED };
  cy_time_ns now = CY_NS_PER_S;
  announce (reg, &ready, now);
  ck_assert_int_eq (announce (reg, &departure, now), CYC_CHANGED);
  for (int i = 0; i < late_rows[_i].late_s; i++)
    {
      now += CY_NS_PER_S;
      cyc_register_expire (reg, now, 8 * CY_NS_PER_S, CY_NS_PER_S);
    }
  announce (reg, &late, now);
  const struct cyc_instance *held = cyc_register_find (reg, "a");
  ck_assert_msg (held != NULL && cyc_instance_departs (held),
                 "'%c', %d s late", late_rows[_i].state, late_rows[_i].late_s);
  ck_assert_int_eq (announce (reg, &restarted, now), CYC_CHANGED);
  held = cyc_register_find (reg, "a");
  ck_assert (!cyc_instance_departs (held));
  cyc_register_destroy (reg);
}
END_TEST

/* Removed servers are bounded in number and in time, and fit into one message
   to another control VM.  */
START_TEST (test_tombstone_bounds)
{
  struct cyc_register *reg = cyc_register_create ();
  cy_time_ns now = CY_NS_PER_S;
  size_t packed_bytes = 0;
  for (unsigned i = 0; i < CYC_TOMBSTONES_MAX + 50; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "server-%020u", i);
      struct announcement leave = { id, 1, 10, 1, 'g', CYC_CHANGED };
      announce (reg, &leave, now + i);
      packed_bytes
          += cy__instance__get_packed_size (cyc_register_find (reg, id)->info)
             + 4;
    }
  ck_assert_uint_lt (packed_bytes, CYN_FRAME_PAYLOAD_MAX);
  ck_assert_uint_eq (cyc_register_expire (reg, now + CY_NS_PER_S,
                                          8 * CY_NS_PER_S, CY_NS_PER_S),
                     50);
  ck_assert_ptr_null (cyc_register_find (reg, "server-00000000000000000049"));
  ck_assert_ptr_nonnull (
      cyc_register_find (reg, "server-00000000000000000050"));
  now += (CYC_TOMBSTONE_S + 1) * CY_NS_PER_S;
  ck_assert_uint_eq (
      cyc_register_expire (reg, now, 8 * CY_NS_PER_S, CY_NS_PER_S),
      CYC_TOMBSTONES_MAX);
  cyc_register_destroy (reg);
}
END_TEST

START_TEST (test_entry_incarnations)
{
  struct cyc_register *reg = cyc_register_create ();
  Cy__EntryVm info = CY__ENTRY_VM__INIT;
  info.vm = (char *)"e1";
  info.zone = info.region = info.host = (char *)"z";
  info.incarnation = 7;
  info.sequence = 3;
  info.ready = true;
  ck_assert_int_eq (cyc_register_entry (reg, &info, true, 1), CYC_CHANGED);
  info.sequence = 2;
  info.ready = false;
  ck_assert_int_eq (cyc_register_entry (reg, &info, false, 2), CYC_STALE);
  info.incarnation = 9;
  info.sequence = 1;
  /* The entry VM has reported directly: a forwarded report of another
     incarnation is older.  */
  ck_assert_int_eq (cyc_register_entry (reg, &info, false, 3), CYC_STALE);
  ck_assert_int_eq (cyc_register_entry (reg, &info, true, 4), CYC_CHANGED);
  const struct cyc_entry *held = CK_LIST_FIRST (cyc_register_entries (reg));
  ck_assert (!held->info->ready);
  cyc_register_destroy (reg);
}
END_TEST

#define NOW_MS  INT64_C (1800000000000)
#define HOUR_MS INT64_C (3600000)

static char long_name[CYC_NAME_MAX_BYTES + 2];

/* Announcements that a process other than a backend server may send.  */
static const struct
{
  const char *name;
  const char *id;
  const char *service;
  const char *zone;
  uint32_t port;
  uint64_t born;
  uint64_t sequence;
  bool gone;
  const char *invalid; /* name of the invalid field, NULL: none */
} candidates[] = {
  { "valid", "a", "s", "z", 1, NOW_MS, 1, false, NULL },
  { "clock is one hour ahead", "a", "s", "z", 1, NOW_MS + HOUR_MS, 1, false,
    NULL },
  { "starts tomorrow", "a", "s", "z", 1, NOW_MS + 24 * HOUR_MS, 1, false,
    "born" },
  { "largest start time", "a", "s", "z", 1, INT64_MAX, 1, false, "born" },
  { "largest start time, leaves", "a", "", "", 0, INT64_MAX, 0, true, "born" },
  { "sequence too large", "a", "s", "z", 1, NOW_MS, INT64_MAX, false,
    "sequence" },
  { "line break in the id", "a\r\nX: y", "s", "z", 1, NOW_MS, 1, false, "id" },
  { "id is no valid text", "\xff\xfe", "s", "z", 1, NOW_MS, 1, false, "id" },
  { "no id", "", "s", "z", 1, NOW_MS, 1, true, "id" },
  { "service is too long", "a", long_name, "z", 1, NOW_MS, 1, false,
    "service" },
  { "no zone", "a", "s", "", 1, NOW_MS, 1, false, "zone" },
  { "port 0", "a", "s", "z", 0, NOW_MS, 1, false, "port" },
  { "port 65536", "a", "s", "z", 65536, NOW_MS, 1, false, "port" },
  { "leaving server with only an id", "a", "", "", 0, 0, 0, true, NULL },
};

/* Guards against an invalid announcement that owns the address or id of a
   server forever, or that crashes the processes that parse it.  */
START_TEST (test_invalid_field)
{
  Cy__Instance info = CY__INSTANCE__INIT;
  memset (long_name, 'x', sizeof long_name - 1);
  info.id = (char *)candidates[_i].id;
  info.service = (char *)candidates[_i].service;
  info.zone = (char *)candidates[_i].zone;
  info.host = (char *)"10.0.0.1";
  info.port = candidates[_i].port;
  info.born = candidates[_i].born;
  info.sequence = candidates[_i].sequence;
  info.gone = candidates[_i].gone;
  const char *invalid = cyc_register_invalid_field (&info, NOW_MS);
  ck_assert_msg (g_strcmp0 (invalid, candidates[_i].invalid) == 0, "%s: %s",
                 candidates[_i].name, invalid == NULL ? "none" : invalid);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("register");
  TCase *all = tcase_create ("all");
  tcase_add_loop_test (all, test_order, 0, G_N_ELEMENTS (rows));
  tcase_add_loop_test (all, test_invalid_field, 0, G_N_ELEMENTS (candidates));
  tcase_add_test (all, test_expiry);
  tcase_add_loop_test (all, test_late, 0, G_N_ELEMENTS (late_rows));
  tcase_add_test (all, test_tombstone_bounds);
  tcase_add_test (all, test_entry_incarnations);
  suite_add_tcase (suite, all);
  return cy_test_run (suite);
}
