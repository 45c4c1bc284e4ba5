#include "net/cyn_loop.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define CYN_EVENTS_MAX 64 /* events of one epoll_wait */

struct cyn_watch
{
  struct cyn_loop *loop;
  int fd;
  bool is_destroyed;
  cyn_watch_callback fn;
  void *context;
};

struct cyn_timer
{
  struct cyn_loop *loop;
  GSequenceIter *queue_position; /* position in loop->timers, NULL: stopped */
  cy_time_ns due_at;
  uint64_t arm_sequence; /* orders timers with the same due time */
  cyn_callback fn;
  void *context;
};

struct cyn_call
{
  cyn_callback fn;
  void *context;
};

struct cyn_loop
{
  const struct cy_clock *clock;
  int epoll_fd;
  int wake_fd;
  atomic_bool is_stopped;
  atomic_uintptr_t running_thread; /* thread of cyn_loop_run, 0: not running */
  GSequence *timers;               /* struct cyn_timer by due time, borrowed */
  uint64_t last_arm_sequence;

  /* Watches destroyed during a round of events.  They are freed after the
     round because later events of the round may still point to them.  */
  GPtrArray *destroyed_watches;

  GMutex lock;         /* protects posted_calls */
  GQueue posted_calls; /* struct cyn_call */
};

static void
wake_loop (struct cyn_loop *loop)
{
  uint64_t increment = 1;
  ssize_t written = write (loop->wake_fd, &increment, sizeof increment);
  (void)written; /* a full event counter wakes the loop, too */
}

struct cyn_loop *
cyn_loop_create (const struct cy_clock *clock)
{
  struct cyn_loop *loop = g_new0 (struct cyn_loop, 1);
  loop->clock = clock;
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  loop->timers = g_sequence_new (NULL);
  loop->destroyed_watches = g_ptr_array_new_with_free_func (g_free);
  g_mutex_init (&loop->lock);
  g_queue_init (&loop->posted_calls);
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = NULL };
  if (loop->epoll_fd < 0 || loop->wake_fd < 0
      || epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &event) != 0)
    g_error ("event loop: %s", g_strerror (errno));
  return loop;
}

void
cyn_loop_destroy (struct cyn_loop *loop)
{
  if (loop == NULL)
    return;
  struct cyn_call *call;
  while ((call = g_queue_pop_head (&loop->posted_calls)) != NULL)
    g_free (call);
  g_sequence_free (loop->timers);
  g_ptr_array_free (loop->destroyed_watches, TRUE);
  g_mutex_clear (&loop->lock);
  close (loop->wake_fd);
  close (loop->epoll_fd);
  g_free (loop);
}

static void
clear_wake_event (struct cyn_loop *loop)
{
  uint64_t count;
  ssize_t read_bytes = read (loop->wake_fd, &count, sizeof count);
  (void)read_bytes; /* the queue of calls is checked in any case */
}

/* Runs all posted calls, including those that are posted meanwhile.  */
static void
run_posted_calls (struct cyn_loop *loop)
{
  for (;;)
    {
      g_mutex_lock (&loop->lock);
      struct cyn_call *call = g_queue_pop_head (&loop->posted_calls);
      g_mutex_unlock (&loop->lock);
      if (call == NULL)
        return;
      call->fn (call->context);
      g_free (call);
    }
}

static void
run_due_timers (struct cyn_loop *loop)
{
  cy_time_ns now = cy_clock_now (loop->clock);
  /* Timers that are started during this round run in the next one.  */
  uint64_t last_sequence = loop->last_arm_sequence;
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);
      if (g_sequence_iter_is_end (first))
        return;
      struct cyn_timer *timer = g_sequence_get (first);
      if (timer->due_at > now || timer->arm_sequence > last_sequence)
        return;
      cyn_timer_stop (timer);
      timer->fn (timer->context);
    }
}

/* Milliseconds until the next timer is due, at most a minute; -1: no timer. */
static int
compute_wait_ms (struct cyn_loop *loop)
{
  GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);
  if (g_sequence_iter_is_end (first))
    return -1;
  const struct cyn_timer *timer = g_sequence_get (first);
  cy_time_ns remaining_ns = timer->due_at - cy_clock_now (loop->clock);
  if (remaining_ns <= 0)
    return 0;
  return (int)MIN ((remaining_ns + CY_NS_PER_MS - 1) / CY_NS_PER_MS, 60000);
}

void
cyn_loop_run (struct cyn_loop *loop)
{
  struct epoll_event events[CYN_EVENTS_MAX];
  atomic_store (&loop->running_thread, (uintptr_t)pthread_self ());
  run_posted_calls (loop);
  while (!atomic_load (&loop->is_stopped))
    {
      int count = epoll_wait (loop->epoll_fd, events, CYN_EVENTS_MAX,
                              compute_wait_ms (loop));
      for (int i = 0; i < count; i++)
        {
          struct cyn_watch *watch = events[i].data.ptr;
          if (watch == NULL)
            clear_wake_event (loop);
          else if (!watch->is_destroyed)
            watch->fn (events[i].events, watch->context);
        }
      run_posted_calls (loop);
      run_due_timers (loop);
      run_posted_calls (loop);
      g_ptr_array_set_size (loop->destroyed_watches, 0);
    }
  atomic_store (&loop->running_thread, 0);
}

void
cyn_loop_stop (struct cyn_loop *loop)
{
  atomic_store (&loop->is_stopped, true);
  wake_loop (loop);
}

void
cyn_loop_post (struct cyn_loop *loop, cyn_callback fn, void *context)
{
  struct cyn_call *call = g_new (struct cyn_call, 1);
  call->fn = fn;
  call->context = context;
  g_mutex_lock (&loop->lock);
  g_queue_push_tail (&loop->posted_calls, call);
  g_mutex_unlock (&loop->lock);
  /* The loop's thread checks the posted calls before it waits.  */
  if (atomic_load (&loop->running_thread) != (uintptr_t)pthread_self ())
    wake_loop (loop);
}

struct cyn_watch *
cyn_watch_create (struct cyn_loop *loop, int fd, uint32_t epoll_events,
                  cyn_watch_callback fn, void *context)
{
  struct cyn_watch *watch = g_new0 (struct cyn_watch, 1);
  watch->loop = loop;
  watch->fd = fd;
  watch->fn = fn;
  watch->context = context;
  struct epoll_event event = { .events = epoll_events, .data.ptr = watch };
  if (epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    g_error ("event loop: cannot watch a descriptor: %s", g_strerror (errno));
  return watch;
}

void
cyn_watch_change (struct cyn_watch *watch, uint32_t epoll_events)
{
  struct epoll_event event = { .events = epoll_events, .data.ptr = watch };
  if (epoll_ctl (watch->loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event) != 0)
    g_error ("event loop: cannot change a watch: %s", g_strerror (errno));
}

void
cyn_watch_destroy (struct cyn_watch *watch)
{
  if (watch == NULL)
    return;
  epoll_ctl (watch->loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
  watch->is_destroyed = true;
  g_ptr_array_add (watch->loop->destroyed_watches, watch);
}

struct cyn_timer *
cyn_timer_create (struct cyn_loop *loop, cyn_callback fn, void *context)
{
  struct cyn_timer *timer = g_new0 (struct cyn_timer, 1);
  timer->loop = loop;
  timer->fn = fn;
  timer->context = context;
  return timer;
}

void
cyn_timer_destroy (struct cyn_timer *timer)
{
  if (timer == NULL)
    return;
  cyn_timer_stop (timer);
  g_free (timer);
}

static gint
compare_timers (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  const struct cyn_timer *left = a;
  const struct cyn_timer *right = b;
  if (left->due_at != right->due_at)
    return left->due_at < right->due_at ? -1 : 1;
  return left->arm_sequence < right->arm_sequence
             ? -1
             : left->arm_sequence > right->arm_sequence;
}

void
cyn_timer_start (struct cyn_timer *timer, int64_t delay_ms)
{
  cyn_timer_stop (timer);
  timer->due_at = cy_clock_now (timer->loop->clock) + delay_ms * CY_NS_PER_MS;
  timer->arm_sequence = ++timer->loop->last_arm_sequence;
  timer->queue_position = g_sequence_insert_sorted (timer->loop->timers, timer,
                                                    compare_timers, NULL);
}

void
cyn_timer_stop (struct cyn_timer *timer)
{
  if (timer->queue_position == NULL)
    return;
  g_sequence_remove (timer->queue_position);
  timer->queue_position = NULL;
}

const struct cy_clock *
cyn_loop_clock (const struct cyn_loop *loop)
{
  return loop->clock;
}
