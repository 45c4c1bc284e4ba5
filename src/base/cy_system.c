#include "base/cy_system.h"

#include <glib.h>
#include <time.h>

static cy_time_ns
system_now (void *context)
{
  (void)context;
  struct timespec ts;
  /* Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the VM is suspended:
     leases that ended in that time have expired when the VM resumes.  */
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (cy_time_ns)ts.tv_sec * CY_NS_PER_S + ts.tv_nsec;
}

static int64_t
system_unix_ms (void *context)
{
  (void)context;
  return g_get_real_time () / 1000;
}

static uint64_t
system_random_next (void *context)
{
  (void)context;
  return (uint64_t)g_random_int () << 32 | g_random_int ();
}

const struct cy_clock *
cy_system_clock (void)
{
  static const struct cy_clock clock = { system_now, system_unix_ms, NULL };
  return &clock;
}

const struct cy_random *
cy_system_random (void)
{
  static const struct cy_random random = { system_random_next, NULL };
  return &random;
}
