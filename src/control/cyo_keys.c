/* Issues, lists and withdraws the keys of workspaces.  A key's text is
   cyk_ID_SECRET; only the answer to the issuing request contains it, and the
   declared state stores nothing but the text's SHA-256 digest.  */

#include <string.h>
#include <sys/random.h>

#include "control/cyo_request.h"
#include "core/cyj_declaration.h"

#define SEED_BYTES   32 /* 64 hex digits in the request */
#define ID_BYTES     6  /* 12 hex digits */
#define SECRET_BYTES 24 /* 48 hex digits */
#define DIGEST_BYTES 32 /* length of a SHA-256 digest */

/* ------------------------------------------------------------------ issue */

struct key_spec
{
  char *workspace;
  int64_t expires_unix_ms;
  uint8_t seed[SEED_BYTES];
};

static bool
read_seed (const char *text, uint8_t seed[SEED_BYTES])
{
  if (text == NULL || strlen (text) != 2 * SEED_BYTES)
    return false;
  for (size_t i = 0; i < SEED_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return false;
      seed[i] = (uint8_t)(high * 16 + low);
    }
  return true;
}

static bool
read_key_spec (struct cyo_request *request, struct key_spec *spec)
{
  json_t *body = cyo_body_json (request);
  const char *invalid_field = NULL;
  if (body == NULL)
    return false;
  const char *workspace
      = json_string_value (json_object_get (body, "workspace"));
  json_t *expires = json_object_get (body, "expires_unix_ms");
  json_t *seed = json_object_get (body, "seed");
  if (workspace == NULL)
    invalid_field = "workspace";
  else if (expires != NULL
           && (!json_is_integer (expires) || json_integer_value (expires) < 0))
    invalid_field = "expires_unix_ms";
  else if (seed != NULL && !read_seed (json_string_value (seed), spec->seed))
    invalid_field = "seed";
  else if (seed == NULL && getrandom (spec->seed, SEED_BYTES, 0) != SEED_BYTES)
    invalid_field = "seed";
  if (invalid_field != NULL)
    cyo_answer_problem (request, CY_E_ARGUMENT, invalid_field,
                        "workspace is a name, expires_unix_ms a time in "
                        "milliseconds or 0, seed 64 hex digits",
                        NULL);
  else
    {
      spec->workspace = g_strdup (workspace);
      spec->expires_unix_ms = json_integer_value (expires);
    }
  json_decref (body);
  return invalid_field == NULL;
}

static void
append_hex (GString *text, const uint8_t *bytes, size_t length)
{
  for (size_t i = 0; i < length; i++)
    g_string_append_printf (text, "%02x", bytes[i]);
}

/* Derives a key's id and text from the seed, the operator, the request id and
   the workspace, so that a resend of the request to any control VM yields the
   same key.  */
static void
derive_key (const struct cyo_request *request, const struct key_spec *spec,
            char id[2 * ID_BYTES + 1], char **text)
{
  uint8_t bytes[DIGEST_BYTES];
  gsize length = sizeof bytes;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, spec->seed, SEED_BYTES);
  const char *parts[]
      = { request->who, "\n", cyo_argument (request, "request_id"), "\n",
          spec->workspace };
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    g_hmac_update (hmac, (const guchar *)parts[i], -1);
  g_hmac_get_digest (hmac, bytes, &length);
  g_hmac_unref (hmac);
  GString *key = g_string_new (NULL);
  append_hex (key, bytes, ID_BYTES);
  g_strlcpy (id, key->str, 2 * ID_BYTES + 1);
  g_string_prepend (key, "cyk_");
  g_string_append_c (key, '_');
  append_hex (key, bytes + ID_BYTES, SECRET_BYTES);
  *text = g_string_free (key, FALSE);
}

static void
wipe_and_free (char *text)
{
  explicit_bzero (text, strlen (text));
  g_free (text);
}

/* Answer to a resend: contains the key's text only when the request has a
   seed, from which the key is derived again.  */
static json_t *
make_key_answer (struct cyo_request *request, uint64_t version)
{
  struct key_spec spec = { .workspace = NULL };
  char id[2 * ID_BYTES + 1];
  char *text;
  json_t *body = cyo_body_json (request);
  bool seeded = json_object_get (body, "seed") != NULL;
  json_decref (body);
  json_t *answer
      = json_pack ("{sIss}", "version", (json_int_t)version, "request_id",
                   cyo_argument (request, "request_id"));
  if (!seeded || !read_key_spec (request, &spec))
    return answer;
  derive_key (request, &spec, id, &text);
  json_object_set_new (answer, "id", json_string (id));
  json_object_set_new (answer, "key", json_string (text));
  json_object_set_new (answer, "workspace", json_string (spec.workspace));
  wipe_and_free (text);
  g_free (spec.workspace);
  return answer;
}

struct workspace_check
{
  const char *workspace;
  bool found;
};

static void
read_workspace (const struct cys_state *state,
                const struct cyt_soft_state *soft, void *context)
{
  struct workspace_check *check = context;
  char *key = g_strconcat ("workspace/", check->workspace, NULL);
  (void)soft;
  check->found = cys_state_get (state, key) != NULL;
  g_free (key);
}

static void
propose_key (struct cyo_request *request, Cy__Change *change,
             const struct key_spec *spec)
{
  char id[2 * ID_BYTES + 1];
  char *text;
  uint8_t digest[DIGEST_BYTES];
  gsize length = sizeof digest;
  Cy__Key key = CY__KEY__INIT;
  Cy__Object object = CY__OBJECT__INIT;
  Cy__Object *objects[] = { &object };
  derive_key (request, spec, id, &text);
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)text, -1);
  g_checksum_get_digest (sum, digest, &length);
  g_checksum_free (sum);
  key.id = id;
  key.workspace = spec->workspace;
  key.digest.data = digest;
  key.digest.len = length;
  key.expires_unix_ms = spec->expires_unix_ms;
  object.key = g_strconcat ("key/", id, NULL);
  object.body_case = CY__OBJECT__BODY_ACCESS_KEY;
  object.access_key = &key;
  change->n_objects = 1;
  change->objects = objects;
  change->note
      = g_strdup_printf ("+ key/%s: workspace %s", id, spec->workspace);
  if (cyo_change_finish (request, change, make_key_answer))
    {
      json_t *answer = json_loads (request->answer, 0, NULL);
      json_object_set_new (answer, "id", json_string (id));
      json_object_set_new (answer, "key", json_string (text));
      json_object_set_new (answer, "workspace", json_string (spec->workspace));
      cyo_answer_json (request, 200, answer);
    }
  g_free (change->note);
  g_free (object.key);
  wipe_and_free (text);
}

void
cyo_handle_key_issue (struct cyo_request *request)
{
  Cy__Change change;
  struct key_spec spec = { .workspace = NULL };
  if (!cyo_change_begin (request, &change, "key-issue", make_key_answer)
      || !read_key_spec (request, &spec))
    return;
  struct workspace_check check = { spec.workspace, false };
  cyx_control_read (request->control, read_workspace, &check);
  if (check.found)
    propose_key (request, &change, &spec);
  else
    cyo_change_refuse (request, &change, CY_E_DECL_REFERENCE, "workspace",
                       "this workspace is not declared");
  g_free (spec.workspace);
}

/* --------------------------------------------------------------- withdraw */

struct key_copy
{
  const char *key_id;
  Cy__Object *object;
};

static void
read_key (const struct cys_state *state, const struct cyt_soft_state *soft,
          void *context)
{
  struct key_copy *copy = context;
  char *key = g_strconcat ("key/", copy->key_id, NULL);
  const Cy__Object *object = cys_state_get (state, key);
  (void)soft;
  copy->object = object != NULL ? cys_object_copy (object) : NULL;
  g_free (key);
}

void
cyo_handle_key_withdraw (struct cyo_request *request)
{
  Cy__Change change;
  struct key_copy copy = { request->name, NULL };
  if (!cyo_change_begin (request, &change, "key-withdraw", NULL))
    return;
  cyx_control_read (request->control, read_key, &copy);
  if (copy.object == NULL)
    {
      cyo_change_refuse (request, &change, CY_E_NOT_FOUND, "id",
                         "no key has this id");
      return;
    }
  Cy__Object *objects[] = { copy.object };
  copy.object->access_key->withdrawn = true;
  change.n_objects = 1;
  change.objects = objects;
  change.note
      = g_strdup_printf ("key/%s withdrawn, workspace %s", request->name,
                         copy.object->access_key->workspace);
  cyo_change_finish (request, &change, NULL);
  g_free (change.note);
  cy__object__free_unpacked (copy.object, NULL);
}

/* ------------------------------------------------------------------- list */

struct key_list
{
  const char *workspace;
  json_t *list;
};

static bool
add_key (const Cy__Object *object, void *context)
{
  struct key_list *keys = context;
  const Cy__Key *key = object->access_key;
  if (keys->workspace != NULL && strcmp (keys->workspace, key->workspace) != 0)
    return true;
  json_array_append_new (keys->list,
                         json_pack ("{sssssIsbsI}", "id", key->id, "workspace",
                                    key->workspace, "expires_unix_ms",
                                    (json_int_t)key->expires_unix_ms,
                                    "withdrawn", (int)key->withdrawn,
                                    "version", (json_int_t)object->version));
  return true;
}

static void
read_keys (const struct cys_state *state, const struct cyt_soft_state *soft,
           void *context)
{
  (void)soft;
  cys_state_each (state, "key/", add_key, context);
}

void
cyo_handle_keys (struct cyo_request *request)
{
  bool confirmed;
  if (!cyo_may_read_here (request, &confirmed))
    return;
  struct key_list keys
      = { cyo_argument (request, "workspace"), json_array () };
  cyx_control_read (request->control, read_keys, &keys);
  cyo_answer_json (
      request, 200,
      json_pack ("{sbso}", "confirmed", confirmed, "keys", keys.list));
}
