#include "entry/cye_declaration_reader.h"

#include <glib.h>
#include <string.h>

#include "core/cyi_delta.h"
#include "core/cyi_pack.h"

/* One declaration on its way to be read.  */
struct job
{
  struct cye_declaration_reader
      *reading; /* NULL: nobody waits for it any more */
  struct cyn_loop *loop;
  Cy__Document *from;
  char *held; /* text that FROM may start from */
  uint64_t held_number;
  char *text; /* that was made of both */
  GThread *thread;
  struct cye_read read;
};

struct cye_declaration_reader
{
  struct cyn_loop *loop;
  cye_read_fn done;
  void *context;
  char *text; /* of the newest one read, NULL: none */
  uint64_t number;
  struct job *job;  /* being read, NULL: none */
  struct job *next; /* waits for it, NULL: none */
};

/* ------------------------------------------------------------ reading */

static Cy__Document *
copy_document (const Cy__Document *from)
{
  size_t length = cy__document__get_packed_size (from);
  uint8_t *bytes = g_malloc (length + 1);
  cy__document__pack (from, bytes);
  Cy__Document *copy = cy__document__unpack (NULL, length, bytes);
  g_free (bytes);
  return copy;
}

static cy_result
make_text (struct job *job, const Cy__Document *from)
{
  if (from->starts_from == 0)
    {
      job->text = g_strdup (from->text);
      return CY_OK;
    }
  if (job->held == NULL || job->held_number != from->starts_from)
    return CY_E_AGAIN;
  return cyi_delta_apply (job->held, from, &job->text);
}

static cy_result
read_plain (struct job *job, const Cy__Document *from)
{
  cy_result result = make_text (job, from);
  if (result != CY_OK)
    return result;
  return cyi_document_read (job->text, strlen (job->text), &job->read.document,
                            &job->read.error);
}

static void
read_job (struct job *job)
{
  Cy__Document *plain = NULL;
  job->read.result = CY_OK;
  if (job->from->packed.len > 0)
    job->read.result = cyi_unpack (job->from, &plain);
  if (job->read.result == CY_OK)
    job->read.result = read_plain (job, plain != NULL ? plain : job->from);
  if (plain != NULL)
    cy__document__free_unpacked (plain, NULL);
}

/* Bytes of the text that JOB will make, about.  */
static size_t
text_length (const struct job *job)
{
  const Cy__Document *from = job->from;
  size_t length
      = from->packed.len > 0 ? from->packed_size : strlen (from->text);
  if (job->held != NULL && length < CYE_READ_THREAD_BYTES)
    length = MAX (length, strlen (job->held));
  return length;
}

/* ------------------------------------------------------------ jobs */

static void
job_clear (struct job *job)
{
  cyi_document_destroy (job->read.document);
  job->read.document = NULL;
  g_clear_pointer (&job->read.vm, g_free);
  g_clear_pointer (&job->read.host, g_free);
  g_clear_pointer (&job->held, g_free);
  g_clear_pointer (&job->text, g_free);
  if (job->from != NULL)
    cy__document__free_unpacked (job->from, NULL);
  job->from = NULL;
}

static void
job_free (struct job *job)
{
  if (job == NULL)
    return;
  job_clear (job);
  g_free (job);
}

static struct job *
job_create (struct cye_declaration_reader *reading, const Cy__Document *from,
            const char *vm, const char *host)
{
  struct job *job = g_new0 (struct job, 1);
  job->reading = reading;
  job->loop = reading->loop;
  job->from = copy_document (from);
  job->read.number = from->number;
  job->read.vm = g_strdup (vm);
  job->read.host = g_strdup (host);
  return job;
}

static void start (struct cye_declaration_reader *reading, struct job *job);

static void
finish (struct cye_declaration_reader *reading, struct job *job)
{
  reading->job = NULL;
  if (job->read.result == CY_OK)
    {
      g_free (reading->text);
      reading->text = g_steal_pointer (&job->text);
      reading->number = job->read.number;
    }
  reading->done (&job->read, reading->context);
  job->read.document = NULL;
  struct job *next = g_steal_pointer (&reading->next);
  if (next == NULL)
    return;
  if (next->read.number > reading->number)
    start (reading, next);
  else
    job_free (next);
}

static void
deliver (void *context)
{
  struct job *job = context;
  if (job->reading != NULL)
    {
      g_thread_join (job->thread);
      finish (job->reading, job);
    }
  job_free (job);
}

static gpointer
run (gpointer context)
{
  struct job *job = context;
  read_job (job);
  cyn_loop_post (job->loop, deliver, job);
  return NULL;
}

static void
start (struct cye_declaration_reader *reading, struct job *job)
{
  reading->job = job;
  job->held = g_strdup (reading->text);
  job->held_number = reading->number;
  if (text_length (job) >= CYE_READ_THREAD_BYTES)
    {
      job->thread = g_thread_new ("read", run, job);
      return;
    }
  read_job (job);
  finish (reading, job);
  job_free (job);
}

void
cye_declaration_reader_take (struct cye_declaration_reader *reading,
                             const Cy__Document *from, const char *vm,
                             const char *host)
{
  uint64_t newest = reading->number;
  if (reading->job != NULL)
    newest = MAX (newest, reading->job->read.number);
  if (reading->next != NULL)
    newest = MAX (newest, reading->next->read.number);
  if (from->number <= newest)
    return;
  struct job *job = job_create (reading, from, vm, host);
  if (reading->job == NULL)
    {
      start (reading, job);
      return;
    }
  job_free (reading->next);
  reading->next = job;
}

/* ------------------------------------------------------------ life */

struct cye_declaration_reader *
cye_declaration_reader_create (struct cyn_loop *loop, cye_read_fn done,
                               void *context)
{
  struct cye_declaration_reader *reading
      = g_new0 (struct cye_declaration_reader, 1);
  reading->loop = loop;
  reading->done = done;
  reading->context = context;
  return reading;
}

void
cye_declaration_reader_destroy (struct cye_declaration_reader *reading)
{
  if (reading == NULL)
    return;
  if (reading->job != NULL)
    {
      /* What it posted is freed by the loop, if that runs on.  */
      g_thread_join (reading->job->thread);
      reading->job->reading = NULL;
      job_clear (reading->job);
    }
  job_free (reading->next);
  g_free (reading->text);
  g_free (reading);
}
