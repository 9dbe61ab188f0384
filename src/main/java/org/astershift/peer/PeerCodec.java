package org.astershift.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Frames between controllers: a length of four bytes, then one MessagePack array. */
final class PeerCodec {
  private static final int LIMIT = 64 * 1024;

  private PeerCodec() {}

  /** A user's question that only the leader can answer. */
  record PeerRequest(String op, String job) {}

  static void write(DataOutputStream out, PeerRequest ask) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(2).packString(ask.op()).packString(ask.job());
      frame(out, p.toByteArray());
    }
  }

  static void write(DataOutputStream out, JobAnswer a) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(4).packInt(a.status());
      if (a.phase() == null) {
        p.packNil();
      } else {
        p.packString(a.phase());
      }
      p.packInt(a.done()).packInt(a.running());
      frame(out, p.toByteArray());
    }
  }

  private static void frame(DataOutputStream out, byte[] body) throws IOException {
    out.writeInt(body.length);
    out.write(body);
    out.flush();
  }

  private static MessageUnpacker frame(DataInputStream in) throws IOException {
    int n = in.readInt();
    if (n <= 0 || n > LIMIT) {
      throw new IOException("bad frame length " + n);
    }
    byte[] body = new byte[n];
    in.readFully(body);
    return MessagePack.newDefaultUnpacker(body);
  }

  static PeerRequest ask(DataInputStream in) throws IOException {
    try (MessageUnpacker u = frame(in)) {
      if (u.unpackArrayHeader() < 2) {
        throw new IOException("short question");
      }
      return new PeerRequest(u.unpackString(), u.unpackString());
    }
  }

  static JobAnswer answer(DataInputStream in) throws IOException {
    try (MessageUnpacker u = frame(in)) {
      if (u.unpackArrayHeader() < 4) {
        throw new IOException("short answer");
      }
      int status = u.unpackInt();
      String phase = u.tryUnpackNil() ? null : u.unpackString();
      return new JobAnswer(status, phase, u.unpackInt(), u.unpackInt());
    }
  }
}
