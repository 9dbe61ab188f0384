package org.astershift.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the frames between controllers: a length of four bytes, then one MessagePack
 * array.
 */
final class PeerCodec {
  private static final int MAX_FRAME_BYTES = 64 * 1024;

  private PeerCodec() {}

  /**
   * A request between controllers, with the wire name of its operation; the meaning of {@code
   * argument} depends on the operation.
   */
  record PeerRequest(String operationName, String argument) {}

  static void write(DataOutputStream out, PeerRequest request) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(2).packString(request.operationName()).packString(request.argument());
      writeFrame(out, packer.toByteArray());
    }
  }

  static void write(DataOutputStream out, PeerResponse response) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(4).packInt(response.status());
      if (response.phase() == null) {
        packer.packNil();
      } else {
        packer.packString(response.phase());
      }
      packer.packInt(response.doneTasks()).packInt(response.runningTasks());
      writeFrame(out, packer.toByteArray());
    }
  }

  private static void writeFrame(DataOutputStream out, byte[] body) throws IOException {
    out.writeInt(body.length);
    out.write(body);
    out.flush();
  }

  private static MessageUnpacker readFrame(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      throw new IOException("bad frame length " + length);
    }
    byte[] body = new byte[length];
    in.readFully(body);
    return MessagePack.newDefaultUnpacker(body);
  }

  static PeerRequest readRequest(DataInputStream in) throws IOException {
    try (MessageUnpacker unpacker = readFrame(in)) {
      if (unpacker.unpackArrayHeader() < 2) {
        throw new IOException("short question");
      }
      return new PeerRequest(unpacker.unpackString(), unpacker.unpackString());
    }
  }

  static PeerResponse readResponse(DataInputStream in) throws IOException {
    try (MessageUnpacker unpacker = readFrame(in)) {
      if (unpacker.unpackArrayHeader() < 4) {
        throw new IOException("short answer");
      }
      int status = unpacker.unpackInt();
      String phase = unpacker.tryUnpackNil() ? null : unpacker.unpackString();
      return new PeerResponse(status, phase, unpacker.unpackInt(), unpacker.unpackInt());
    }
  }
}
