"""The fleet's certificate authority, the certificates of agents, and TLS contexts made from their files.

Rotation without interruption: an agent accepts certificates signed by any authority in its authority file. To rotate, add the
new authority everywhere, then issue agents certificates of it, then remove the old one. Files are reloaded on demand and apply
to new connections; if they are invalid, the last valid ones stay in use."""

import datetime
import os
import ssl
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from lapiswing.errors import OperatorError
from lapiswing.loop import secure

DAY = datetime.timedelta(days=1)


class CertificateError(OperatorError):
    """A certificate or key file can't be used. `file` and `reason` say which and why."""

    exit_code = 2
    advice = (
        "`lapiswing keys check FOLDER NAME` tells whether files fit; `lapiswing keys agent FOLDER NAME --renew` makes new ones."
    )

    def __init__(self, file, reason):
        super().__init__(file, reason)
        self.file, self.reason = str(file), reason


def subject(name):
    """An X.509 name with a common name only."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def builder(name, issuer, public_key, days, now):
    """A certificate builder, valid from one hour ago, so that clocks may differ a little."""
    return (
        x509.CertificateBuilder()
        .subject_name(subject(name))
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY / 24)
        .not_valid_after(now + days * DAY)
    )


def utc_now():
    """The present time, with time zone."""
    return datetime.datetime.now(datetime.timezone.utc)


def pem_of(key, certificate):
    """Returns (key, certificate) as PEM bytes."""
    return (
        key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()),
        certificate.public_bytes(serialization.Encoding.PEM),
    )


def make_authority(name, days, now=None):
    """Creates a certificate authority: a key and a self-signed certificate. Returns (key, certificate) as PEM bytes."""
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = (
        builder(name, subject(name), key.public_key(), days, now or utc_now())
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    return pem_of(key, certificate)


def issue(authority_key, authority_certificate, name, days, now=None):
    """Creates the key and certificate of an agent. Returns (key, certificate) as PEM bytes. Raises ValueError."""
    signer = serialization.load_pem_private_key(authority_key, None)
    issuer = x509.load_pem_x509_certificate(authority_certificate)
    if signer.public_key() != issuer.public_key():
        raise ValueError("the authority's key and certificate do not belong together")
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = (
        builder(name, issuer.subject, key.public_key(), days, now or utc_now())
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .add_extension(x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]), critical=False)
        .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(issuer.public_key()), critical=False)
        .sign(signer, hashes.SHA256())
    )
    return pem_of(key, certificate)


def write_secret(path, data):
    """Writes a file atomically, readable by its owner only. Raises OSError, and FileExistsError instead of overwriting a file: a
    key that was overwritten by mistake cuts its agents off from the fleet."""
    path = Path(path)
    if path.exists():
        raise FileExistsError(17, "already exists", str(path))
    temporary = path.with_name(path.name + ".new")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(fd, "wb") as file:
        file.write(data)
    os.rename(temporary, path)


def check(certificate_file, key_file, authority_file, name, now=None):
    """Checks that an agent of this name can be run with these files. Returns the days until the first of its certificates
    expires. Raises CertificateError."""
    now = now or utc_now()

    def read(file, load, what):
        try:
            return load(Path(file).read_bytes())
        except OSError as problem:
            raise CertificateError(file, problem.strerror) from None
        except (ValueError, TypeError):
            raise CertificateError(file, f"holds no {what} in PEM") from None

    authorities = read(authority_file, x509.load_pem_x509_certificates, "certificate")
    own = read(certificate_file, x509.load_pem_x509_certificate, "certificate")
    key = read(key_file, lambda data: serialization.load_pem_private_key(data, None), "private key without password")
    if key.public_key() != own.public_key():
        raise CertificateError(key_file, f"does not belong to {certificate_file}")
    for file, checked in [(certificate_file, own), *((authority_file, a) for a in authorities)]:
        if checked is own and not checked.not_valid_before_utc <= now < checked.not_valid_after_utc:
            raise CertificateError(
                file,
                f"is valid from {checked.not_valid_before_utc:%Y-%m-%d %H:%M} to "
                f"{checked.not_valid_after_utc:%Y-%m-%d %H:%M} UTC only",
            )
    signers = [a for a in authorities if a.subject == own.issuer and signed(own, a)]
    if not signers:
        raise CertificateError(certificate_file, f"is signed by none of {authority_file}")
    if all(now >= a.not_valid_after_utc for a in signers):
        raise CertificateError(authority_file, "the authority that signed is no longer valid")
    try:
        names = own.extensions.get_extension_for_class(x509.SubjectAlternativeName).value.get_values_for_type(x509.DNSName)
    except x509.ExtensionNotFound:
        names = []
    if name not in names:
        raise CertificateError(certificate_file, f"is for {', '.join(names) or 'nobody'}, not for {name}")
    return round(min(checked.not_valid_after_utc - now for checked in (own, *signers)) / DAY)


def signed(certificate, authority):
    """Whether the authority has signed a certificate."""
    try:
        certificate.verify_directly_issued_by(authority)
        return True
    except (ValueError, TypeError, InvalidSignature):
        return False


class Tls:
    """The TLS contexts of one agent. Raises CertificateError, also from `reload`, which then keeps the present contexts."""

    def __init__(self, certificate, key, authority, name):
        self.files, self.name = (str(certificate), str(key), str(authority)), name
        self.days = self.stamp = None
        self.reload()

    def stamps(self):
        """Identity and modification time of each file, None for a missing one."""
        out = []
        for file in self.files:
            try:
                status = os.stat(file)
                out.append((status.st_mtime_ns, status.st_size, status.st_ino))
            except OSError:
                out.append(None)
        return out

    def changed(self):
        """Whether a file has changed since the last `reload`."""
        return self.stamps() != self.stamp

    def reload(self):
        """Reads the files again and replaces the contexts."""
        self.stamp = self.stamps()
        certificate, key, authority = self.files
        days = check(certificate, key, authority, self.name)
        contexts = []
        for side in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
            context = ssl.SSLContext(side)
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.check_hostname = False  # agents are verified by name, not by address, in peers.Peer.on_frame
            context.verify_mode = ssl.CERT_REQUIRED
            try:
                context.load_cert_chain(certificate, key)
                context.load_verify_locations(authority)
            except (OSError, ssl.SSLError) as problem:
                raise CertificateError(certificate, str(problem)) from None
            contexts.append(context)
        self.contexts, self.days = contexts, days

    def server(self):
        """A stream factory for accepted connections."""
        return secure(self.contexts[0], True)

    def client(self):
        """A stream factory for outgoing connections."""
        return secure(self.contexts[1], False)
