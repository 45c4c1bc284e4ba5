/* Mutual authentication of a connection: each side proves by an HMAC over both
   nonces that it has the secret of the cluster.  */

#ifndef CYN_CHALLENGE_H
#define CYN_CHALLENGE_H

#include <stdbool.h>
#include <stdint.h>

#define CYN_NONCE_BYTES 32 /* length of a nonce */
#define CYN_PROOF_BYTES 32 /* length of a proof, HMAC-SHA256 */

/* Fills NONCE with CYN_NONCE_BYTES random bytes.  */
void cyn_challenge_create_nonce (uint8_t *nonce);

/* Computes the proof of the process named PROVER, over the nonce CHALLENGE of
   the verifier and the PROVER_NONCE.  IS_DIALLER: PROVER opened the
   connection; it is part of the HMAC, so that a proof can't be sent back to
   the side that computed it.  PROOF has space for CYN_PROOF_BYTES.  */
void cyn_challenge_create_proof (const char *secret, bool is_dialler,
                                 const char *prover, const uint8_t *challenge,
                                 const uint8_t *prover_nonce, uint8_t *proof);

/* Compares two proofs of CYN_PROOF_BYTES in constant time.  */
bool cyn_challenge_equal (const uint8_t *a, const uint8_t *b);

#endif /* CYN_CHALLENGE_H */
