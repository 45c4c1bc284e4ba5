#include "net/cyn_challenge.h"

#include <glib.h>
#include <string.h>

void
cyn_challenge_create_nonce (uint8_t *nonce)
{
  for (size_t i = 0; i < CYN_NONCE_BYTES; i += sizeof (guint32))
    {
      guint32 word = g_random_int ();
      memcpy (nonce + i, &word, sizeof word);
    }
}

void
cyn_challenge_create_proof (const char *secret, bool is_dialler,
                            const char *prover, const uint8_t *challenge,
                            const uint8_t *prover_nonce, uint8_t *proof)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)secret,
                            strlen (secret));
  g_hmac_update (hmac, (const guchar *)(is_dialler ? "dial" : "acpt"), 4);
  g_hmac_update (hmac, challenge, CYN_NONCE_BYTES);
  g_hmac_update (hmac, prover_nonce, CYN_NONCE_BYTES);
  g_hmac_update (hmac, (const guchar *)prover, (gssize)strlen (prover) + 1);
  gsize length = CYN_PROOF_BYTES;
  g_hmac_get_digest (hmac, proof, &length);
  g_hmac_unref (hmac);
}

bool
cyn_challenge_equal (const uint8_t *a, const uint8_t *b)
{
  uint8_t difference = 0;
  for (size_t i = 0; i < CYN_PROOF_BYTES; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}
