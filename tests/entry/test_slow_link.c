/* An entry VM whose link is slow: what a control VM says takes longer to come
   than a control VM may be silent.  The control VM is a fake behind a relay
   that lets few bytes through.  */

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/cy_system.h"
#include "cy_test.h"
#include "entry/cye_hub.h"

#define SECRET     "0123456789abcdef0123"
#define LONG_BYTES 150000 /* of one message: a second on the relay */
#define PIECE      3000   /* bytes that the relay lets through ... */
#define PAUSE_US   20000  /* ... in this time */
#define POLL_MS    20
#define GIVE_UP_MS 6000

struct relay
{
  int listener;
  uint16_t port;   /* where the entry VM dials */
  uint16_t target; /* the control VM's */
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
  char buffer[PIECE];
  ssize_t got = 0;
  while ((got = recv (end->from, buffer, sizeof buffer, 0)) > 0)
    {
      send (end->to, buffer, (size_t)got, MSG_NOSIGNAL);
      if (end->slow)
        g_usleep (PAUSE_US); /* the relay's rate, no verdict rests on it */
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

struct world
{
  struct cyn_loop *loop;
  struct cyn_timer *poll;
  struct cyn_timer *give_up;
  struct cye_hub *hub;
  struct cyn_conn *conn; /* the entry VM's, at the control VM */
  char *bulk;
  bool attached;
  bool asked;
  int opened;
  struct cye_place place;
  cy_result result;
  bool answered;
};

static void
send_view (struct world *world, uint64_t echo, char *zone)
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
  cyn_conn_send (world->conn, &envelope);
}

static void
control_open (struct cyn_conn *conn, void *context)
{
  struct world *world = context;
  world->conn = conn;
  world->opened++;
}

static void
control_message (struct cyn_conn *conn, const Cy__Envelope *message,
                 void *context)
{
  struct world *world = context;
  Cy__Envelope envelope = CY__ENVELOPE__INIT;
  Cy__PlaceAnswer answer = CY__PLACE_ANSWER__INIT;
  if (message->body_case == CY__ENVELOPE__BODY_ENTRY_REPORT)
    {
      world->attached = message->entry_report->attached;
      send_view (world, message->entry_report->number, NULL);
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
placed (struct cye_place *place, cy_result result)
{
  struct world *world = place->owner;
  world->answered = true;
  world->result = result;
  cyn_loop_stop (world->loop);
}

/* Once its requests are placed: a long message, then a request.  */
static void
poll_due (void *context)
{
  struct world *world = context;
  struct cye_place *place = &world->place;
  cyn_timer_start (world->poll, POLL_MS);
  if (!world->attached || world->asked)
    return;
  cy_time_ns now = cy_clock_now (cyn_loop_clock (world->loop));
  world->asked = true;
  send_view (world, 0, world->bulk);
  g_strlcpy (place->service, "s", sizeof place->service);
  place->goal_at = now + 5 * CY_NS_PER_S;
  place->deadline_at = now + 5 * CY_NS_PER_S;
  place->on_answer = placed;
  place->owner = world;
  ck_assert_int_eq (cye_hub_acquire (world->hub, place), CY_E_AGAIN);
}

static void
give_up (void *context)
{
  cyn_loop_stop (context);
}

START_TEST (test_answer_behind_a_long_message)
{
  struct world world = { .loop = cyn_loop_create (cy_system_clock ()) };
  struct relay relay = { 0 };
  struct cyn_identity control = { "c", SECRET, "control", "c1", "z1", 1 };
  struct cyn_identity entry = { "c", SECRET, "entry", "e1", "z1", 2 };
  struct cyn_listener *listener = NULL;
  struct cyc_topology *topology = NULL;
  ck_assert_int_eq (cyc_topology_read ("z1=r1", &topology), CY_OK);
  ck_assert_int_eq (cyn_listener_create (world.loop, &control, "127.0.0.1", 0,
                                         &control_handlers, &world, &listener),
                    CY_OK);
  relay.target = cyn_listener_port (listener);
  relay_start (&relay);
  world.bulk = g_strnfill (LONG_BYTES, 'x');
  world.poll = cyn_timer_create (world.loop, poll_due, &world);
  world.give_up = cyn_timer_create (world.loop, give_up, world.loop);
  struct cye_hub_options options = {
    .loop = world.loop,
    .identity = &entry,
    .random = cy_system_random (),
    .topology = topology,
    .region = "r1",
    .host = "127.0.0.1",
    .port = 1,
    .peer_port = relay.port,
    .seeds = "127.0.0.1:1",
  };
  world.hub = cye_hub_create (&options);
  cyn_timer_start (world.poll, POLL_MS);
  cyn_timer_start (world.give_up, GIVE_UP_MS);
  cyn_loop_run (world.loop);
  ck_assert (world.answered);
  ck_assert_int_eq (world.result, CY_OK);
  ck_assert_str_eq (world.place.instance, "i-1");
  ck_assert_int_eq (world.opened, 1);
  cye_hub_destroy (world.hub);
  cyn_timer_destroy (world.poll);
  cyn_timer_destroy (world.give_up);
  cyn_listener_destroy (listener);
  cyn_loop_destroy (world.loop);
  cyc_topology_destroy (topology);
  g_free (world.bulk);
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
