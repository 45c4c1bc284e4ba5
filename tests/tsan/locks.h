/* For ThreadSanitizer only: replaces the locks of GLib by those of POSIX
   threads.  ThreadSanitizer intercepts POSIX locks, but GLib is not built with
   it, so it would report accesses that GLib's locks order as data races.
   scripts/sanitize.sh includes this header before every file.  */

#ifndef TSAN_LOCKS_H
#define TSAN_LOCKS_H

#include <glib.h>
#include <pthread.h>
#include <time.h>

#define GMutex                       pthread_mutex_t
#define GCond                        pthread_cond_t
#define g_mutex_init(m)              pthread_mutex_init (m, NULL)
#define g_mutex_clear(m)             pthread_mutex_destroy (m)
#define g_mutex_lock(m)              pthread_mutex_lock (m)
#define g_mutex_unlock(m)            pthread_mutex_unlock (m)
#define g_cond_init(c)               pthread_cond_init (c, NULL)
#define g_cond_clear(c)              pthread_cond_destroy (c)
#define g_cond_signal(c)             pthread_cond_signal (c)
#define g_cond_broadcast(c)          pthread_cond_broadcast (c)
#define g_cond_wait(c, m)            pthread_cond_wait (c, m)
#define g_cond_wait_until(c, m, end) tsan_wait_until (c, m, end)

/* Waits for COND until UNTIL, in microseconds of the monotonic clock.  Returns
   FALSE when that time has passed.  */
static inline gboolean
tsan_wait_until (pthread_cond_t *cond, pthread_mutex_t *mutex, gint64 until)
{
  struct timespec end;
  clock_gettime (CLOCK_REALTIME, &end);
  gint64 left = MAX (until - g_get_monotonic_time (), 0);
  gint64 nanoseconds = end.tv_nsec + left % G_USEC_PER_SEC * 1000;
  end.tv_sec += left / G_USEC_PER_SEC + nanoseconds / 1000000000;
  end.tv_nsec = nanoseconds % 1000000000;
  return pthread_cond_timedwait (cond, mutex, &end) == 0;
}

#endif /* TSAN_LOCKS_H */
