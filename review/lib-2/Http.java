import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client for the stand-ins; loopback only. */
final class Http {
  private Http() {}

  record Request(String method, String path, String query, String body) {}

  /** A response; status 0 closes the connection without an answer. */
  record Response(int status, String body) {
    static Response of(int status, Object json) {
      return new Response(status, Json.write(json));
    }
  }

  interface Handler {
    Response handle(Request request) throws Exception;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder out = new StringBuilder();
    while (true) {
      int c = in.read();
      if (c < 0) {
        if (out.length() == 0) {
          return null;
        }
        throw new EOFException();
      }
      if (c == '\n') {
        return out.toString();
      }
      if (c != '\r') {
        out.append((char) c);
      }
    }
  }

  private record Message(String start, boolean close, String body) {}

  private static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    int length = 0;
    boolean close = false;
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      String lower = header.toLowerCase();
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(15).trim());
      } else if (lower.startsWith("connection:") && lower.contains("close")) {
        close = true;
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException();
    }
    return new Message(start, close, new String(body, StandardCharsets.UTF_8));
  }

  static void daemon(String name, Runnable work) {
    Thread thread = new Thread(null, work, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  static final class Server {
    private final ServerSocket socket;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
      daemon("accept", this::accept);
    }

    int port() {
      return socket.getLocalPort();
    }

    void close() {
      closed = true;
      try {
        socket.close();
        for (Socket s : open) {
          s.close();
        }
      } catch (IOException e) {
        // closed either way
      }
    }

    private void accept() {
      while (!closed) {
        try {
          Socket s = socket.accept();
          open.add(s);
          daemon("serve", () -> serve(s));
        } catch (IOException e) {
          // ends with the server
        }
      }
    }

    private void serve(Socket s) {
      try (s) {
        s.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(s.getInputStream());
        OutputStream out = new BufferedOutputStream(s.getOutputStream(), 16384);
        while (!closed) {
          Message message = read(in);
          if (message == null) {
            return;
          }
          String[] words = message.start.split(" ");
          int mark = words[1].indexOf('?');
          Response response =
              handler.handle(
                  new Request(
                      words[0],
                      mark < 0 ? words[1] : words[1].substring(0, mark),
                      mark < 0 ? "" : words[1].substring(mark + 1),
                      message.body));
          if (response.status == 0) {
            return;
          }
          byte[] body = response.body.getBytes(StandardCharsets.UTF_8);
          out.write(
              ("HTTP/1.1 "
                      + response.status
                      + " X\r\nContent-Type: application/json\r\nContent-Length: "
                      + body.length
                      + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          out.write(body);
          out.flush();
          if (message.close) {
            return;
          }
        }
      } catch (Exception e) {
        // the connection ends
      } finally {
        open.remove(s);
      }
    }
  }

  /** A client with one connection, which it keeps; not thread-safe. */
  static final class Client {
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(int port) {
      this.port = port;
    }

    Response call(String method, String path, String body, int timeoutMs) throws IOException {
      boolean ok = false;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
          in = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout(timeoutMs);
        byte[] bytes = (body == null ? "" : body).getBytes(StandardCharsets.UTF_8);
        String head =
            method
                + " "
                + path
                + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: "
                + bytes.length
                + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + bytes.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
        socket.getOutputStream().write(all);
        Message message = read(in);
        if (message == null) {
          throw new EOFException();
        }
        ok = !message.close;
        return new Response(Integer.parseInt(message.start.split(" ")[1]), message.body);
      } finally {
        if (!ok) {
          close();
        }
      }
    }

    void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // closed either way
      }
      socket = null;
    }
  }

  /** Sends one request on a connection of its own. */
  static Response once(int port, String method, String path, String body, int timeoutMs)
      throws IOException {
    Client client = new Client(port);
    try {
      return client.call(method, path, body, timeoutMs);
    } finally {
      client.close();
    }
  }
}
