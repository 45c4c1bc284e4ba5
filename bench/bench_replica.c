/* Benchmark of the replicated log, with these bounds:
     proposals per second, at least 0.3 of the syncs per second that the same
     disk reaches in the same run;
     restart with 100,000 records, at most 2 s;
     a new leader after the loss of one, worst of 20, at most 2 s.
   Prints the slopes that docs/CAPACITY.md uses.  The argument is a folder on
   the disk to be measured; without it a folder in the place for temporary
   files is used.  */

#include <fcntl.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "core/cyr_core.h"
#include "net/cyn_counters.h"
#include "replica/members.h"
#include "store/cyd_record.h"
#include "store/cyd_store.h"

#define MEMBERS         3
#define SYNC_SECONDS    1
#define SYNC_BYTES      256 /* bytes of each write before a bare sync */
#define PROPOSERS       64  /* proposals in flight */
#define PROPOSE_SECONDS 2
#define RECORD_BYTES    256    /* bytes of a proposal */
#define MEMORY_RECORDS  10000  /* too few records for a snapshot */
#define RESTART_RECORDS 100000 /* records in the log of a restarted member */
#define LOSSES          20     /* leaders that are stopped */
#define RATIO_MIN       0.3    /* proposals/s to bare syncs/s */
#define RESTART_MAX_S   2.0
#define FAILOVER_MAX_S  2.0
#define IDLE_SECONDS    3

static struct member members[MEMBERS];
static Cy__MemberSet bootstrap;
static int broken_bounds; /* number of bounds that do not hold */

static double
now_s (void)
{
  return (double)g_get_monotonic_time () / G_TIME_SPAN_SECOND;
}

static double
cpu_seconds (void)
{
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

/* Returns the resident memory of the process in bytes.  */
static double
resident_bytes (void)
{
  char *text = NULL;
  unsigned long total = 0;
  unsigned long pages = 0;
  if (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL))
    sscanf (text, "%lu %lu", &total, &pages);
  g_free (text);
  return (double)pages * (double)sysconf (_SC_PAGESIZE);
}

static void
check_bound (const char *name, bool holds)
{
  printf ("%-52s %s\n", name, holds ? "holds" : "BROKEN");
  broken_bounds += !holds;
}

/* ------------------------------------------------------------ bare syncs */

static double
measure_syncs (const char *folder)
{
  char *path = g_build_filename (folder, "bare", NULL);
  uint8_t bytes[SYNC_BYTES] = { 1 };
  int fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  uint64_t count = 0;
  if (fd < 0 || posix_fallocate (fd, 0, 8 << 20) != 0)
    g_error ("%s cannot be written", path);
  double start = now_s ();
  while (now_s () - start < SYNC_SECONDS)
    {
      off_t offset = (off_t)(count % 30000 * SYNC_BYTES);
      if (pwrite (fd, bytes, sizeof bytes, offset) < 0 || fdatasync (fd) != 0)
        g_error ("%s cannot be synced", path);
      count++;
    }
  double rate = (double)count / (now_s () - start);
  close (fd);
  g_unlink (path);
  g_free (path);
  return rate;
}

/* ------------------------------------------------------------ proposals */

/* A stream of proposals, PROPOSERS of them in flight.  The callbacks run in
   the loop of MEMBER, the leader.  */
struct proposal_stream
{
  struct member *member;
  uint64_t done;      /* proposals committed */
  uint64_t failed;    /* proposals that ended with an error */
  uint32_t in_flight; /* proposals without a result yet */
  uint64_t limit;     /* committed proposals after which the stream stops,
                         0: it runs until stop_stream */
  bool stopping;      /* no further proposal is made */
  GMutex lock;        /* lock of ENDED */
  GCond ended;        /* signalled for each result after STOPPING is set */
};

static void propose_next (struct proposal_stream *stream);

static void
on_proposed (cy_result result, uint64_t index, void *context)
{
  struct proposal_stream *stream = context;
  (void)index;
  stream->done += result == CY_OK;
  stream->failed += result != CY_OK;
  stream->in_flight--;
  stream->stopping |= stream->limit != 0 && stream->done >= stream->limit;
  if (!stream->stopping)
    {
      propose_next (stream);
      return;
    }
  g_mutex_lock (&stream->lock);
  g_cond_signal (&stream->ended);
  g_mutex_unlock (&stream->lock);
}

static void
propose_next (struct proposal_stream *stream)
{
  uint8_t data[RECORD_BYTES] = { 0 };
  stream->in_flight++;
  cyx_replica_propose (stream->member->replica, data, sizeof data, on_proposed,
                       stream);
}

static void
start_stream (void *context)
{
  for (int i = 0; i < PROPOSERS; i++)
    propose_next (context);
}

static void
stop_stream (void *context)
{
  ((struct proposal_stream *)context)->stopping = true;
}

static void
run_proposals (struct proposal_stream *stream, double duration)
{
  g_mutex_init (&stream->lock);
  g_cond_init (&stream->ended);
  cyn_loop_post (stream->member->loop, start_stream, stream);
  if (stream->limit == 0)
    {
      g_usleep ((gulong)(duration * G_USEC_PER_SEC));
      cyn_loop_post (stream->member->loop, stop_stream, stream);
    }
  g_mutex_lock (&stream->lock);
  while (!stream->stopping || stream->in_flight > 0)
    g_cond_wait (&stream->ended, &stream->lock);
  g_mutex_unlock (&stream->lock);
}

static void
start_members (const char *folder)
{
  for (size_t i = 0; i < MEMBERS; i++)
    member_init (&members[i], i + 1, folder);
  members_bootstrap (members, MEMBERS, &bootstrap);
  for (size_t i = 0; i < MEMBERS; i++)
    {
      members[i].bootstrap = &bootstrap;
      member_start (&members[i]);
    }
  if (members_leader (members, MEMBERS) == NULL)
    g_error ("no leader");
}

static void
stop_members (void)
{
  for (size_t i = 0; i < MEMBERS; i++)
    member_clear (&members[i]);
}

/* Prints the CPU time and the bytes that an idle cluster takes.  All three
   members run in this process, so the totals are divided by the number of
   followers.  */
static void
measure_idle (void)
{
  struct cyn_counters before;
  struct cyn_counters after;
  cyn_counters_read (&before);
  double cpu = cpu_seconds ();
  g_usleep (IDLE_SECONDS * G_USEC_PER_SEC);
  cpu = cpu_seconds () - cpu;
  cyn_counters_read (&after);
  double followers = MEMBERS - 1;
  printf ("at rest, per follower, both ends     %8.3f %% of a core, "
          "%.0f bytes/s, %.1f frames/s\n",
          100 * cpu / IDLE_SECONDS / followers,
          (double)(after.bytes_out - before.bytes_out) / IDLE_SECONDS
              / followers,
          (double)(after.frames_out - before.frames_out) / IDLE_SECONDS
              / followers);
}

/* Prints the memory of records, which members hold until a snapshot replaces
   them.  */
static void
measure_memory (void)
{
  struct proposal_stream stream
      = { .member = members_leader (members, MEMBERS),
          .limit = MEMORY_RECORDS };
  double memory = resident_bytes ();
  run_proposals (&stream, 0);
  memory = resident_bytes () - memory;
  printf ("memory per 1,000 records and member   %8.0f bytes (records of %d "
          "bytes)\n",
          1000.0 * memory / ((double)stream.done * MEMBERS), RECORD_BYTES);
}

static void
measure_proposals (const char *folder)
{
  double syncs = measure_syncs (folder);
  start_members (folder);
  measure_idle ();
  struct cyn_counters before;
  struct cyn_counters after;
  measure_memory ();
  struct proposal_stream stream
      = { .member = members_leader (members, MEMBERS) };
  cyn_counters_read (&before);
  double cpu = cpu_seconds ();
  double start = now_s ();
  run_proposals (&stream, PROPOSE_SECONDS);
  double rate = (double)stream.done / (now_s () - start);
  cpu = cpu_seconds () - cpu;
  cyn_counters_read (&after);
  double records = (double)stream.done * (MEMBERS - 1);
  printf ("bare syncs of %d bytes                %8.0f /s\n", SYNC_BYTES,
          syncs);
  printf ("proposals of %d bytes, %d in flight   %8.0f /s, %lu failed\n",
          RECORD_BYTES, PROPOSERS, rate, stream.failed);
  printf ("ratio to bare syncs                   %8.2f (bound %.2f)\n",
          rate / syncs, RATIO_MIN);
  printf ("per record and member                 %8.1f us of CPU\n",
          1e6 * cpu / ((double)stream.done * MEMBERS));
  printf ("per record and follower               %8.0f bytes sent and "
          "answered\n",
          (double)(after.bytes_out - before.bytes_out) / records);
  check_bound ("proposals a second against bare syncs",
               rate / syncs >= RATIO_MIN);
  stop_members ();
}

/* ------------------------------------------------------------ restart */

static struct cyd_store *
open_store (const char *path, struct cyd_recovered *recovered)
{
  struct cyd_store_options options = { .files = cyd_system_files (),
                                       .path = path,
                                       .cluster = "c",
                                       .member = 1,
                                       .random = cy_system_random () };
  struct cyd_store *store = NULL;
  cy_result result = cyd_store_open (&options, recovered, &store);
  if (result != CY_OK)
    g_error ("%s: %s", path, cy_result_text (result));
  return store;
}

static void
fill_log (const char *path)
{
  struct cyd_recovered recovered;
  uint8_t data[RECORD_BYTES] = { 0 };
  struct cyd_store *store = open_store (path, &recovered);
  for (uint64_t index = recovered.records->len + 1; index <= RESTART_RECORDS;
       index++)
    {
      struct cyr_record *record
          = cyr_record_create (index, 2, CYR_RECORD_CHANGE, data, sizeof data);
      if (cyd_store_append (store, &record, 1) != CY_OK)
        g_error ("log cannot be written");
      cyr_record_unref (record);
    }
  if (cyd_store_sync (store) != CY_OK)
    g_error ("log cannot be synced");
  cyd_store_close (store);
  cyd_recovered_clear (&recovered);
}

/* Bootstraps a cluster of one member, stops the member, writes a long log to
   the member's store, and measures the restart, in which the member reads
   and applies that log.  */
static void
measure_restart (const char *folder)
{
  char *base = g_build_filename (folder, "restart", NULL);
  struct member *member = &members[0];
  member_init (member, 1, base);
  members_bootstrap (member, 1, &bootstrap);
  member->bootstrap = &bootstrap;
  member_start (member);
  if (members_leader (member, 1) == NULL)
    g_error ("no leader");
  member_stop (member);
  fill_log (member->folder);
  struct cyd_recovered recovered;
  double start_s = now_s ();
  struct cyd_store *store = open_store (member->folder, &recovered);
  double opened_s = now_s () - start_s;
  cyd_store_close (store);
  cyd_recovered_clear (&recovered);
  start_s = now_s ();
  member_start (member);
  if (members_leader (member, 1) == NULL)
    g_error ("no leader");
  double ready_s = now_s () - start_s;
  printf ("restart with %d records         %8.2f s to read, %.2f s until "
          "ready (bound %.1f s)\n",
          RESTART_RECORDS, opened_s, ready_s, RESTART_MAX_S);
  check_bound ("restart with 100,000 records", ready_s <= RESTART_MAX_S);
  member_clear (member);
  g_free (base);
}

/* ------------------------------------------------------------ failover */

static void
measure_failover (const char *folder)
{
  char *base = g_build_filename (folder, "failover", NULL);
  double worst_s = 0;
  double sum_s = 0;
  start_members (base);
  for (int i = 0; i < LOSSES; i++)
    {
      struct member *stopped = members_leader (members, MEMBERS);
      if (stopped == NULL)
        g_error ("no leader");
      member_stop (stopped);
      double start_s = now_s ();
      if (members_leader (members, MEMBERS) == NULL)
        g_error ("no new leader");
      double elapsed_s = now_s () - start_s;
      worst_s = MAX (worst_s, elapsed_s);
      sum_s += elapsed_s;
      member_start (stopped);
      while (!member_wait_for (stopped, member_has_leader, 0))
        ;
    }
  printf ("new leader after a loss, %d times     %8.2f s worst, %.2f s mean "
          "(bound %.1f s)\n",
          LOSSES, worst_s, sum_s / LOSSES, FAILOVER_MAX_S);
  check_bound ("new leader after a loss, worst of 20",
               worst_s <= FAILOVER_MAX_S);
  stop_members ();
  g_free (base);
}

int
main (int argc, char **argv)
{
  char *folder = argc > 1 ? g_build_filename (argv[1], "bench-replica", NULL)
                          : members_folder ();
  g_mkdir_with_parents (folder, 0700);
  measure_proposals (folder);
  measure_restart (folder);
  measure_failover (folder);
  members_remove_folder (folder);
  g_free (folder);
  return broken_bounds == 0 ? 0 : 1;
}
