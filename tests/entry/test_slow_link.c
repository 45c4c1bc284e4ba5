/* Guards against an entry VM that closes a slow link: a long message of a
   control VM takes longer to arrive than the timeout for an answer of the
   placer.  The control VM is a fake behind a relay with a low byte rate.  */

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/cy_system.h"
#include "cy_test.h"
#include "entry/cye_hub.h"

#define SECRET      "0123456789abcdef0123"
#define LONG_BYTES  150000 /* one message: takes a second through the relay */
#define CHUNK_BYTES 3000   /* bytes that the relay forwards per PAUSE_US */
#define PAUSE_US    20000
#define POLL_MS     20
#define GIVE_UP_MS  6000 /* bound of the test */

struct relay
{
  int listener;
  uint16_t port;   /* to which the entry VM connects */
  uint16_t target; /* port of the control VM */
};

struct pipe_end
{
  int from;
  int to;
  bool slow;
};

static void *
copy (void *context)
{
  struct pipe_end *end = context;
  char buffer[CHUNK_BYTES];
  ssize_t got = 0;
  while ((got = recv (end->from, buffer, sizeof buffer, 0)) > 0)
    {
      send (end->to, buffer, (size_t)got, MSG_NOSIGNAL);
      if (end->slow)
        g_usleep (PAUSE_US); /* the relay's rate; no check depends on it */
    }
  shutdown (end->to, SHUT_WR);
  g_free (end);
  return NULL;
}

static void
start_copy (int from, int to, bool slow)
{
  pthread_t thread;
  struct pipe_end *end = g_new (struct pipe_end, 1);
  *end = (struct pipe_end){ from, to, slow };
  ck_assert_int_eq (pthread_create (&thread, NULL, copy, end), 0);
  pthread_detach (thread);
}

static void *
relay_run (void *context)
{
  struct relay *relay = context;
  int fd = -1;
  while ((fd = accept (relay->listener, NULL, NULL)) >= 0)
    {
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_port = htons (relay->target) };
      int to = socket (AF_INET, SOCK_STREAM, 0);
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      if (connect (to, (struct sockaddr *)&address, sizeof address) != 0)
        abort ();
      start_copy (fd, to, false);
      start_copy (to, fd, true);
    }
  return NULL;
}

/* The relay lives until the test's process ends.  */
static void
relay_start (struct relay *relay)
{
  pthread_t thread;
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  relay->listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (
      bind (relay->listener, (struct sockaddr *)&address, length), 0);
  ck_assert_int_eq (listen (relay->listener, 8), 0);
  getsockname (relay->listener, (struct sockaddr *)&address, &length);
  relay->port = ntohs (address.sin_port);
  ck_assert_int_eq (pthread_create (&thread, NULL, relay_run, relay), 0);
}

/* ------------------------------------------------------------ control VM */

struct fixture
{
  struct cyn_loop *loop;
  struct cyn_timer *poll;
  struct cyn_timer *give_up;
  struct cye_hub *hub;
  struct cyn_conn *conn; /* connection of the entry VM at the control VM */
  char *bulk;            /* name of LONG_BYTES, sent as a drained zone */
  bool attached;         /* the control VM is the placer of the entry VM */
  bool slot_requested;
  int opened; /* connections that the entry VM has opened */
  struct cye_place place;
  cy_result result;
  bool answered;
};

static void
send_view (struct fixture *fixture, uint64_t echo, char *zone)
{
  Cy__ControlVm self = CY__CONTROL_VM__INIT;
  Cy__ControlVm *controls[] = { &self };
  Cy__HubView view = CY__HUB_VIEW__INIT;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  self.vm = "c1";
  self.zone = "z1";
  self.region = "r1";
  self.host = "127.0.0.1";
  view.controls = controls;
  view.n_controls = 1;
  view.majority = true;
  view.echo = echo;
  view.drained_zones = &zone;
  view.n_drained_zones = zone != NULL;
  envelope.body_case = CY__ENVELOPE__BODY_HUB_VIEW;
  envelope.hub_view = &view;
  cyn_conn_send (fixture->conn, &envelope);
}

static void
control_open (struct cyn_conn *conn, void *context)
{
  struct fixture *fixture = context;
  fixture->conn = conn;
  fixture->opened++;
}

static void
control_message (struct cyn_conn *conn, const Cy__Envelope *message,
                 void *context)
{
  struct fixture *fixture = context;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__PlaceAnswer answer = CY__PLACE_ANSWER__INIT;
  if (message->body_case == CY__ENVELOPE__BODY_ENTRY_REPORT)
    {
      fixture->attached = message->entry_report->attached;
      send_view (fixture, message->entry_report->number, NULL);
      return;
    }
  if (message->body_case != CY__ENVELOPE__BODY_PLACE_ASK)
    return;
  answer.number = message->place_ask->number;
  answer.instance = "i-1";
  answer.host = "127.0.0.1";
  answer.zone = "z1";
  envelope.body_case = CY__ENVELOPE__BODY_PLACE_ANSWER;
  envelope.place_answer = &answer;
  cyn_conn_send (conn, &envelope);
}

static void
control_close (struct cyn_conn *conn, cy_result reason, void *context)
{
  (void)conn;
  (void)reason;
  (void)context;
}

static const struct cyn_handlers control_handlers
    = { control_open, control_message, control_close };

/* ------------------------------------------------------------ entry VM */

static void
on_placed (struct cye_place *place, cy_result result)
{
  struct fixture *fixture = place->owner;
  fixture->answered = true;
  fixture->result = result;
  cyn_loop_stop (fixture->loop);
}

/* Sends a long message once the control VM is the placer, then requests a
   slot.  */
static void
on_poll (void *context)
{
  struct fixture *fixture = context;
  struct cye_place *place = &fixture->place;
  cyn_timer_start (fixture->poll, POLL_MS);
  if (!fixture->attached || fixture->slot_requested)
    return;
  cy_time_ns now = cy_clock_now (cyn_loop_clock (fixture->loop));
  fixture->slot_requested = true;
  send_view (fixture, 0, fixture->bulk);
  g_strlcpy (place->service, "s", sizeof place->service);
  place->goal_at = now + 5 * CY_NS_PER_S;
  place->deadline_at = now + 5 * CY_NS_PER_S;
  place->on_answer = on_placed;
  place->owner = fixture;
  ck_assert_int_eq (cye_hub_acquire (fixture->hub, place), CY_E_AGAIN);
}

static void
give_up (void *context)
{
  cyn_loop_stop (context);
}

START_TEST (test_answer_behind_a_long_message)
{
  struct fixture fixture = { .loop = cyn_loop_create (cy_system_clock ()) };
  struct relay relay = { 0 };
  struct cyn_identity control = { "c", SECRET, "control", "c1", "z1", 1 };
  struct cyn_identity entry = { "c", SECRET, "entry", "e1", "z1", 2 };
  struct cyn_listener *listener = NULL;
  struct cyc_topology *topology = NULL;
  ck_assert_int_eq (cyc_topology_read ("z1=r1", &topology), CY_OK);
  ck_assert_int_eq (cyn_listener_create (fixture.loop, &control, "127.0.0.1",
                                         0, &control_handlers, &fixture,
                                         &listener),
                    CY_OK);
  relay.target = cyn_listener_port (listener);
  relay_start (&relay);
  fixture.bulk = g_strnfill (LONG_BYTES, 'x');
  fixture.poll = cyn_timer_create (fixture.loop, on_poll, &fixture);
  fixture.give_up = cyn_timer_create (fixture.loop, give_up, fixture.loop);
  struct cye_hub_options options = {
    .loop = fixture.loop,
    .identity = &entry,
    .random = cy_system_random (),
    .topology = topology,
    .region = "r1",
    .host = "127.0.0.1",
    .port = 1,
    .peer_port = relay.port,
    .seeds = "127.0.0.1:1",
  };
  fixture.hub = cye_hub_create (&options);
  cyn_timer_start (fixture.poll, POLL_MS);
  cyn_timer_start (fixture.give_up, GIVE_UP_MS);
  cyn_loop_run (fixture.loop);
  ck_assert (fixture.answered);
  ck_assert_int_eq (fixture.result, CY_OK);
  ck_assert_str_eq (fixture.place.instance, "i-1");
  ck_assert_int_eq (fixture.opened, 1);
  cye_hub_destroy (fixture.hub);
  cyn_timer_destroy (fixture.poll);
  cyn_timer_destroy (fixture.give_up);
  cyn_listener_destroy (listener);
  cyn_loop_destroy (fixture.loop);
  cyc_topology_destroy (topology);
  g_free (fixture.bulk);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("slow link");
  TCase *tcase = tcase_create ("slow link");
  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, test_answer_behind_a_long_message);
  suite_add_tcase (suite, tcase);
  return cy_test_run (suite);
}
