/* Event loop of one thread: file descriptors, timers and calls posted by
   other threads.  A program runs one loop in each thread that communicates
   with other processes.  */

#ifndef CYN_LOOP_H
#define CYN_LOOP_H

#include <stdint.h>

#include "core/cy_clock.h"
#include "cy_result.h"

struct cyn_loop;

typedef void (*cyn_callback) (void *context);
typedef void (*cyn_watch_callback) (uint32_t epoll_events, void *context);

/* Handles of a watched descriptor and of a timer.  */
struct cyn_watch;
struct cyn_timer;

/* Creates a loop.  The caller destroys it after cyn_loop_run has returned.
   CLOCK is borrowed.  */
struct cyn_loop *cyn_loop_create (const struct cy_clock *clock);
void cyn_loop_destroy (struct cyn_loop *loop);

/* Runs until cyn_loop_stop.  The calling thread becomes the loop's thread.  */
void cyn_loop_run (struct cyn_loop *loop);

/* Makes cyn_loop_run return.  May be called from any thread and from signal
   handlers.  */
void cyn_loop_stop (struct cyn_loop *loop);

/* Queues a call of FN in the loop's thread.  Calls run in the order in which
   they were posted.  Any thread.  */
void cyn_loop_post (struct cyn_loop *loop, cyn_callback fn, void *context);

/* Watches FD for EPOLLIN and EPOLLOUT, level triggered.  FD stays the
   caller's.  Loop's thread.  */
struct cyn_watch *cyn_watch_create (struct cyn_loop *loop, int fd,
                                    uint32_t epoll_events,
                                    cyn_watch_callback fn, void *context);
void cyn_watch_change (struct cyn_watch *watch, uint32_t epoll_events);
void cyn_watch_destroy (struct cyn_watch *watch);

/* Creates a stopped timer, which the caller destroys.  Loop's thread.  */
struct cyn_timer *cyn_timer_create (struct cyn_loop *loop, cyn_callback fn,
                                    void *context);
void cyn_timer_destroy (struct cyn_timer *timer);

/* Starts TIMER to run once after DELAY_MS; replaces an earlier start.  */
void cyn_timer_start (struct cyn_timer *timer, int64_t delay_ms);
void cyn_timer_stop (struct cyn_timer *timer);

const struct cy_clock *cyn_loop_clock (const struct cyn_loop *loop);

#endif /* CYN_LOOP_H */
