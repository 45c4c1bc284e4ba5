#include "net/cyn_signals.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/cyu_log.h"

struct cyn_signals
{
  int fd;
  struct cyn_watch *watch;
  cyn_callback fn;
  void *context;
};

static void
fill_handled_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
}

void
cyn_signals_block (void)
{
  sigset_t set;
  fill_handled_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static void
signals_on_ready (uint32_t events, void *context)
{
  (void)events;
  struct cyn_signals *signals = context;
  struct signalfd_siginfo info;
  if (read (signals->fd, &info, sizeof info) != sizeof info)
    return;
  if (info.ssi_signo == SIGHUP)
    cyu_log (G_LOG_LEVEL_INFO,
             "SIGHUP ignored: settings are read at the start; "
             "restart the process to apply a change");
  else
    signals->fn (signals->context);
}

struct cyn_signals *
cyn_signals_create (struct cyn_loop *loop, cyn_callback fn, void *context)
{
  struct cyn_signals *signals = g_new0 (struct cyn_signals, 1);
  sigset_t set;
  fill_handled_signals (&set);
  signals->fn = fn;
  signals->context = context;
  signals->fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (signals->fd < 0)
    g_error ("signals: %s", g_strerror (errno));
  signals->watch = cyn_watch_create (loop, signals->fd, EPOLLIN,
                                     signals_on_ready, signals);
  return signals;
}

void
cyn_signals_destroy (struct cyn_signals *signals)
{
  if (signals == NULL)
    return;
  cyn_watch_destroy (signals->watch);
  close (signals->fd);
  g_free (signals);
}
