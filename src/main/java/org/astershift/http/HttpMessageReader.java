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

/**
 * Reads HTTP/1.1 messages from a blocking socket. Bytes read beyond a message are kept for the next
 * one. Not thread-safe.
 */
final class HttpMessageReader {
  /** Maximum size of the start line and the headers together, in bytes. */
  static final int MAX_HEAD_BYTES = 16 * 1024;

  private final Socket socket;
  private final InputStream in;
  private final byte[] buffer = new byte[4096];
  private int bufferPosition;
  private int bufferEnd;
  private boolean hasDeadline;
  private long deadlineNs;
  private int headBytesLeft;

  HttpMessageReader(Socket socket) throws IOException {
    this.socket = socket;
    this.in = socket.getInputStream();
  }

  /** A message: its start line, its headers by lower-case name, and its body. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {
    boolean closesConnection() {
      String connectionHeader = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
      return connectionHeader.contains("close")
          || (startLine.contains("HTTP/1.0") && !connectionHeader.contains("keep-alive"));
    }
  }

  /**
   * Waits for the first byte of a message; returns false if the connection is closed first. There
   * is no timeout, since it would cost two more system calls per read: another thread has to shut
   * down the socket if the wait takes too long.
   */
  boolean awaitFirstByte() throws IOException {
    hasDeadline = false;
    return bufferPosition < bufferEnd || fillBuffer();
  }

  /** Reads a request, without a timeout, like {@link #awaitFirstByte}. */
  Message readRequest(int bodyLimit) throws IOException {
    hasDeadline = false;
    return readMessage(bodyLimit, true);
  }

  /** Reads a response, which must arrive completely within {@code timeoutMs}. */
  Message readResponse(int timeoutMs, int bodyLimit) throws IOException {
    hasDeadline = true;
    deadlineNs = System.nanoTime() + timeoutMs * 1_000_000L;
    return readMessage(bodyLimit, false);
  }

  private Message readMessage(int bodyLimit, boolean request) throws IOException {
    headBytesLeft = MAX_HEAD_BYTES;
    String startLine = readLine();
    if (request && startLine.isEmpty()) {
      startLine = readLine(); // one empty line before a request is allowed
    }
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      addHeader(line, headers);
    }
    boolean bodyUntilClose = !request && !startLine.contains(" 204") && !startLine.contains(" 304");
    return new Message(startLine, headers, readBody(headers, bodyLimit, bodyUntilClose));
  }

  private static void addHeader(String line, Map<String, String> headers) throws HttpException {
    int colon = line.indexOf(':');
    if (colon <= 0
        || line.charAt(0) == ' '
        || line.charAt(0) == '\t'
        || line.charAt(colon - 1) == ' ') {
      throw new HttpException(400, "bad header line");
    }
    String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
    String value = line.substring(colon + 1).trim();
    String previous = headers.put(name, value);
    if (previous != null && name.equals("content-length") && !previous.equals(value)) {
      throw new HttpException(400, "two lengths");
    }
  }

  /**
   * Reads a body. One without a length extends to the end of the connection if {@code untilClose}
   * is true, and is empty otherwise.
   */
  private byte[] readBody(Map<String, String> headers, int limit, boolean untilClose)
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
      return readChunkedBody(limit);
    }
    if (length != null) {
      return readBytes(parseLength(length, limit));
    }
    return untilClose ? readUntilClose(headers, limit) : new byte[0];
  }

  private static int parseLength(String length, int limit) throws HttpException {
    if (!length.matches("[0-9]{1,18}")) {
      throw new HttpException(400, "bad content length");
    }
    long size = Long.parseLong(length);
    if (size > limit) {
      throw new HttpException(413, "body too large");
    }
    return (int) size;
  }

  private byte[] readUntilClose(Map<String, String> headers, int limit) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      for (int next = readByte(); ; next = readByte()) {
        body.write(next);
        if (body.size() > limit) {
          throw new HttpException(413, "body too large");
        }
      }
    } catch (EOFException e) {
      headers.put("connection", "close");
      return body.toByteArray();
    }
  }

  private byte[] readChunkedBody(int limit) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String sizeLine = readLine();
      int semicolon = sizeLine.indexOf(';');
      String hex = (semicolon < 0 ? sizeLine : sizeLine.substring(0, semicolon)).trim();
      if (!hex.matches("[0-9a-fA-F]{1,8}")) {
        throw new HttpException(400, "bad chunk size");
      }
      long chunkSize = Long.parseLong(hex, 16);
      if (body.size() + chunkSize > limit) {
        throw new HttpException(413, "body too large");
      }
      headBytesLeft = MAX_HEAD_BYTES;
      if (chunkSize == 0) {
        while (!readLine().isEmpty()) {
          // trailers are ignored
        }
        return body.toByteArray();
      }
      body.write(readBytes((int) chunkSize));
      if (!readLine().isEmpty()) {
        throw new HttpException(400, "bad chunk end");
      }
    }
  }

  private byte[] readBytes(int size) throws IOException {
    byte[] bytes = new byte[size];
    int received = 0;
    while (received < size) {
      if (bufferPosition == bufferEnd && !fillBuffer()) {
        throw new EOFException("connection closed inside a message body");
      }
      int count = Math.min(size - received, bufferEnd - bufferPosition);
      System.arraycopy(buffer, bufferPosition, bytes, received, count);
      bufferPosition += count;
      received += count;
    }
    return bytes;
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder(64);
    while (true) {
      int next = readByte();
      if (--headBytesLeft < 0) {
        throw new HttpException(431, "head too large");
      }
      if (next == '\n') {
        int length = line.length();
        if (length > 0 && line.charAt(length - 1) == '\r') {
          line.setLength(length - 1);
        }
        return line.toString();
      }
      if (next == 0) {
        throw new HttpException(400, "zero byte in the head");
      }
      line.append((char) next);
    }
  }

  private int readByte() throws IOException {
    if (bufferPosition == bufferEnd && !fillBuffer()) {
      throw new EOFException("connection closed inside a message");
    }
    return buffer[bufferPosition++] & 0xff;
  }

  private boolean fillBuffer() throws IOException {
    if (hasDeadline) {
      long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        throw new SocketTimeoutException("response did not arrive completely before the deadline");
      }
      socket.setSoTimeout((int) Math.min(remainingMs, Integer.MAX_VALUE));
    }
    int count = in.read(buffer, 0, buffer.length);
    if (count < 0) {
      return false;
    }
    bufferPosition = 0;
    bufferEnd = count;
    return true;
  }

  static byte[] encodeLatin1(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
