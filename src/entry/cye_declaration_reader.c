#include "entry/cye_declaration_reader.h"

#include <glib.h>
#include <string.h>

#include "core/cyi_delta.h"
#include "core/cyi_pack.h"

/* One declaration to be read.  */
struct job
{
  struct cye_declaration_reader *reader; /* NULL: the reader was destroyed */
  struct cyn_loop *loop;
  Cy__Document *document; /* as received, owned */
  char *base_text;        /* text to which a delta applies, NULL: none */
  uint64_t base_number;   /* version of base_text */
  char *text; /* full text of the declaration, NULL before it is built */
  GThread *thread;
  struct cye_read_result read;
};

struct cye_declaration_reader
{
  struct cyn_loop *loop;
  cye_declaration_read_fn done;
  void *context;
  char *text;           /* of the newest declaration read, NULL: none */
  uint64_t number;      /* version of that declaration */
  struct job *job;      /* being read, NULL: none */
  struct job *next_job; /* read after JOB, NULL: none */
};

/* ------------------------------------------------------------ reading */

static Cy__Document *
copy_document (const Cy__Document *document)
{
  size_t length = cy__document__get_packed_size (document);
  uint8_t *bytes = g_malloc (length + 1);
  cy__document__pack (document, bytes);
  Cy__Document *copy = cy__document__unpack (NULL, length, bytes);
  g_free (bytes);
  return copy;
}

static cy_result
build_text (struct job *job, const Cy__Document *plain)
{
  if (plain->starts_from == 0)
    {
      job->text = g_strdup (plain->text);
      return CY_OK;
    }
  if (job->base_text == NULL || job->base_number != plain->starts_from)
    return CY_E_AGAIN;
  return cyi_delta_apply (job->base_text, plain, &job->text);
}

static cy_result
read_plain (struct job *job, const Cy__Document *plain)
{
  cy_result result = build_text (job, plain);
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
  if (job->document->packed.len > 0)
    job->read.result = cyi_unpack (job->document, &plain);
  if (job->read.result == CY_OK)
    job->read.result = read_plain (job, plain != NULL ? plain : job->document);
  if (plain != NULL)
    cy__document__free_unpacked (plain, NULL);
}

/* Estimated bytes of the text that JOB builds.  */
static size_t
text_length (const struct job *job)
{
  const Cy__Document *document = job->document;
  size_t length = document->packed.len > 0 ? document->packed_size
                                           : strlen (document->text);
  if (job->base_text != NULL && length < CYE_READ_THREAD_BYTES)
    length = MAX (length, strlen (job->base_text));
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
  g_clear_pointer (&job->base_text, g_free);
  g_clear_pointer (&job->text, g_free);
  if (job->document != NULL)
    cy__document__free_unpacked (job->document, NULL);
  job->document = NULL;
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
job_create (struct cye_declaration_reader *reader,
            const Cy__Document *document, const char *vm, const char *host)
{
  struct job *job = g_new0 (struct job, 1);
  job->reader = reader;
  job->loop = reader->loop;
  job->document = copy_document (document);
  job->read.number = document->number;
  job->read.vm = g_strdup (vm);
  job->read.host = g_strdup (host);
  return job;
}

static void start_job (struct cye_declaration_reader *reader, struct job *job);

static void
finish_job (struct cye_declaration_reader *reader, struct job *job)
{
  reader->job = NULL;
  if (job->read.result == CY_OK)
    {
      g_free (reader->text);
      reader->text = g_steal_pointer (&job->text);
      reader->number = job->read.number;
    }
  reader->done (&job->read, reader->context);
  job->read.document = NULL;
  struct job *next = g_steal_pointer (&reader->next_job);
  if (next == NULL)
    return;
  if (next->read.number > reader->number)
    start_job (reader, next);
  else
    job_free (next);
}

static void
deliver_job (void *context)
{
  struct job *job = context;
  if (job->reader != NULL)
    {
      g_thread_join (job->thread);
      finish_job (job->reader, job);
    }
  job_free (job);
}

static gpointer
run_job (gpointer context)
{
  struct job *job = context;
  read_job (job);
  cyn_loop_post (job->loop, deliver_job, job);
  return NULL;
}

static void
start_job (struct cye_declaration_reader *reader, struct job *job)
{
  reader->job = job;
  job->base_text = g_strdup (reader->text);
  job->base_number = reader->number;
  if (text_length (job) >= CYE_READ_THREAD_BYTES)
    {
      job->thread = g_thread_new ("read", run_job, job);
      return;
    }
  read_job (job);
  finish_job (reader, job);
  job_free (job);
}

void
cye_declaration_reader_submit (struct cye_declaration_reader *reader,
                               const Cy__Document *document, const char *vm,
                               const char *host)
{
  uint64_t newest = reader->number;
  if (reader->job != NULL)
    newest = MAX (newest, reader->job->read.number);
  if (reader->next_job != NULL)
    newest = MAX (newest, reader->next_job->read.number);
  if (document->number <= newest)
    return;
  struct job *job = job_create (reader, document, vm, host);
  if (reader->job == NULL)
    {
      start_job (reader, job);
      return;
    }
  job_free (reader->next_job);
  reader->next_job = job;
}

/* ------------------------------------------------------------ lifetime */

struct cye_declaration_reader *
cye_declaration_reader_create (struct cyn_loop *loop,
                               cye_declaration_read_fn done, void *context)
{
  struct cye_declaration_reader *reader
      = g_new0 (struct cye_declaration_reader, 1);
  reader->loop = loop;
  reader->done = done;
  reader->context = context;
  return reader;
}

void
cye_declaration_reader_destroy (struct cye_declaration_reader *reader)
{
  if (reader == NULL)
    return;
  if (reader->job != NULL)
    {
      /* The thread has posted the job; the loop frees it if it still runs.  */
      g_thread_join (reader->job->thread);
      reader->job->reader = NULL;
      job_clear (reader->job);
    }
  job_free (reader->next_job);
  g_free (reader->text);
  g_free (reader);
}
