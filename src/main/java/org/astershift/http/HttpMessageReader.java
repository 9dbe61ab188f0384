package org.astershift.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.astershift.config.Constants;

/**
 * Reads HTTP/1.1 messages from a blocking socket. A message has to arrive whole within its
 * deadline, however slowly its bytes come; what is read beyond a message stays for the next one.
 */
final class HttpMessageReader {
  private final Socket socket;
  private final InputStream in;
  private final byte[] buffer = new byte[4096];
  private int position;
  private int end;
  private boolean timed;
  private long deadlineNs;
  private int headLeft;

  HttpMessageReader(Socket socket) throws IOException {
    this.socket = socket;
    this.in = socket.getInputStream();
  }

  /** Start line, headers by lower-case name, and body. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    boolean closes() {
      String c = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
      return c.contains("close") || (start.contains("HTTP/1.0") && !c.contains("keep-alive"));
    }
  }

  /**
   * Waits for the first byte of a message; false if the other side closed before. Somebody else has
   * to close the socket when it takes too long: a plain blocking read is one system call where one
   * with a timeout is three, and a leader has hundreds a second.
   */
  boolean await() throws IOException {
    timed = false;
    return position < end || fillBuffer();
  }

  /** Reads a request; as for {@link #await}, its time is limited by whoever closes the socket. */
  Message request(int bodyLimit) throws IOException {
    timed = false;
    return read(bodyLimit, true);
  }

  /** Reads a response, which has to be there whole in so many milliseconds. */
  Message response(int timeoutMs, int bodyLimit) throws IOException {
    timed = true;
    deadlineNs = System.nanoTime() + timeoutMs * 1_000_000L;
    return read(bodyLimit, false);
  }

  private Message read(int bodyLimit, boolean request) throws IOException {
    headLeft = Constants.HEAD_BYTES;
    String start = line();
    if (request && start.isEmpty()) {
      start = line(); // one empty line before a request is allowed
    }
    Map<String, String> headers = new HashMap<>();
    for (String l = line(); !l.isEmpty(); l = line()) {
      int colon = l.indexOf(':');
      if (colon <= 0 || l.charAt(0) == ' ' || l.charAt(0) == '\t' || l.charAt(colon - 1) == ' ') {
        throw new HttpException(400, "bad header line");
      }
      String name = l.substring(0, colon).toLowerCase(Locale.ROOT);
      String value = l.substring(colon + 1).trim();
      String before = headers.put(name, value);
      if (before != null && name.equals("content-length") && !before.equals(value)) {
        throw new HttpException(400, "two lengths");
      }
    }
    return new Message(start, headers, body(start, headers, bodyLimit, request));
  }

  private byte[] body(String start, Map<String, String> headers, int limit, boolean request)
      throws IOException {
    String encoding = headers.get("transfer-encoding");
    String length = headers.get("content-length");
    if (encoding != null) {
      if (!encoding.equalsIgnoreCase("chunked")) {
        throw new HttpException(501, "unknown transfer encoding");
      }
      if (length != null) {
        throw new HttpException(400, "both a length and chunks");
      }
      return chunks(limit);
    }
    if (length != null) {
      if (!length.matches("[0-9]{1,18}")) {
        throw new HttpException(400, "bad content length");
      }
      long n = Long.parseLong(length);
      if (n > limit) {
        throw new HttpException(413, "body too large");
      }
      return bytes((int) n);
    }
    if (request || start.contains(" 204") || start.contains(" 304")) {
      return new byte[0];
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    try {
      for (int b = one(); ; b = one()) {
        all.write(b);
        if (all.size() > limit) {
          throw new HttpException(413, "body too large");
        }
      }
    } catch (EOFException e) {
      headers.put("connection", "close");
      return all.toByteArray();
    }
  }

  private byte[] chunks(int limit) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    while (true) {
      String size = line();
      int semicolon = size.indexOf(';');
      String hex = (semicolon < 0 ? size : size.substring(0, semicolon)).trim();
      if (!hex.matches("[0-9a-fA-F]{1,8}")) {
        throw new HttpException(400, "bad chunk size");
      }
      long n = Long.parseLong(hex, 16);
      if (all.size() + n > limit) {
        throw new HttpException(413, "body too large");
      }
      headLeft = Constants.HEAD_BYTES;
      if (n == 0) {
        while (!line().isEmpty()) {
          // trailers say nothing that is used here
        }
        return all.toByteArray();
      }
      all.write(bytes((int) n));
      if (!line().isEmpty()) {
        throw new HttpException(400, "bad chunk end");
      }
    }
  }

  private byte[] bytes(int n) throws IOException {
    byte[] out = new byte[n];
    int got = 0;
    while (got < n) {
      if (position == end && !fillBuffer()) {
        throw new EOFException("closed inside a body");
      }
      int take = Math.min(n - got, end - position);
      System.arraycopy(buffer, position, out, got, take);
      position += take;
      got += take;
    }
    return out;
  }

  private String line() throws IOException {
    StringBuilder sb = new StringBuilder(64);
    while (true) {
      int b = one();
      if (--headLeft < 0) {
        throw new HttpException(431, "head too large");
      }
      if (b == '\n') {
        int n = sb.length();
        if (n > 0 && sb.charAt(n - 1) == '\r') {
          sb.setLength(n - 1);
        }
        return sb.toString();
      }
      if (b == 0) {
        throw new HttpException(400, "zero byte in the head");
      }
      sb.append((char) b);
    }
  }

  private int one() throws IOException {
    if (position == end && !fillBuffer()) {
      throw new EOFException("closed inside a message");
    }
    return buffer[position++] & 0xff;
  }

  private boolean fillBuffer() throws IOException {
    if (timed) {
      long leftMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        throw new SocketTimeoutException("deadline passed");
      }
      socket.setSoTimeout((int) Math.min(leftMs, Integer.MAX_VALUE));
    }
    int n = in.read(buffer, 0, buffer.length);
    if (n < 0) {
      return false;
    }
    position = 0;
    end = n;
    return true;
  }

  static byte[] ascii(String s) {
    return s.getBytes(StandardCharsets.ISO_8859_1);
  }
}
