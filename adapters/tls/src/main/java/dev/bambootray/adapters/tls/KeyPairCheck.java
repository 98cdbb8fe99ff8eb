package dev.bambootray.adapters.tls;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.ByteArrayInputStream;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;

/**
 * Checks that a private key belongs to a certificate. The TLS provider of the platform accepts any
 * pair and fails only at the first handshake, which would take a node off the network.
 */
final class KeyPairCheck {
  private static final String PEM_FRAME = "-----[A-Z ]+-----";

  private KeyPairCheck() {}

  /**
   * Returns whether the key signs what the certificate verifies.
   *
   * @throws GeneralSecurityException if either cannot be read
   */
  static boolean matches(byte[] certificateChain, byte[] privateKey)
      throws GeneralSecurityException {
    PublicKey certified =
        CertificateFactory.getInstance("X.509")
            .generateCertificate(new ByteArrayInputStream(certificateChain))
            .getPublicKey();
    String algorithm = certified.getAlgorithm();
    PrivateKey key = KeyFactory.getInstance(algorithm).generatePrivate(decode(privateKey));
    byte[] sample = algorithm.getBytes(US_ASCII);
    Signature signer = Signature.getInstance(signatureName(algorithm));
    signer.initSign(key);
    signer.update(sample);
    byte[] signed = signer.sign();
    signer.initVerify(certified);
    signer.update(sample);
    return signer.verify(signed);
  }

  private static PKCS8EncodedKeySpec decode(byte[] pem) {
    String base64 = new String(pem, US_ASCII).replaceAll(PEM_FRAME, "");
    return new PKCS8EncodedKeySpec(Base64.getMimeDecoder().decode(base64));
  }

  private static String signatureName(String algorithm) {
    return switch (algorithm) {
      case "EC" -> "SHA256withECDSA";
      case "RSA" -> "SHA256withRSA";
      default -> algorithm;
    };
  }
}
