package org.astershift;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.cli.ParseException;
import org.astershift.config.ConfigurationException;
import org.astershift.config.OperatorSettings;
import org.astershift.config.Settings;
import org.astershift.scheduler.SchedulingPolicy;

/**
 * The program's entry point: reads options and settings, and starts a controller. The class has no
 * logger of its own, since a setting configures all loggers.
 */
public final class Main {
  private Main() {}

  /**
   * Runs the program. Exits after the options help, version and check, and for bad usage, bad
   * settings, or an address that cannot be bound; otherwise the controller keeps running.
   */
  public static void main(String[] args) {
    Optional<ExitCode> code = run(args, System.out, System.err);
    if (code.isPresent()) {
      System.exit(code.get().value());
    }
  }

  /** Returns the exit code; empty if a controller now runs on its own threads. */
  static Optional<ExitCode> run(String[] args, PrintStream out, PrintStream err) {
    try {
      CommandLineArguments arguments = CommandLineArguments.parse(args);
      if (arguments.isHelpRequested()) {
        CommandLineArguments.printHelp(out);
        return Optional.of(ExitCode.OK);
      }
      if (arguments.isVersionRequested()) {
        printVersion(out);
        return Optional.of(ExitCode.OK);
      }
      arguments.requireStartOptions();
      return checkOrStart(arguments, out);
    } catch (ParseException e) {
      err.println("astershift: " + e.getMessage() + " (see --help)");
      return Optional.of(ExitCode.USAGE);
    } catch (ConfigurationException e) {
      err.println("astershift: " + e.getMessage());
      return Optional.of(ExitCode.USAGE);
    } catch (IOException e) {
      err.println("astershift: cannot listen: " + e.getMessage());
      return Optional.of(ExitCode.CANNOT_LISTEN);
    }
  }

  private static Optional<ExitCode> checkOrStart(CommandLineArguments arguments, PrintStream out)
      throws ConfigurationException, IOException {
    Settings settings = Settings.load(Path.of(arguments.configFile()));
    String ini = arguments.iniFile(System.getenv("ASTERSHIFT_INI"));
    SchedulingPolicy policy =
        ini == null ? OperatorSettings.defaults() : OperatorSettings.load(Path.of(ini));
    configureLogging(System.getenv("LOG_LEVEL"));
    if (arguments.isCheckRequested()) {
      out.println("settings are fine");
      return Optional.of(ExitCode.OK);
    }
    ControllerLauncher.start(settings, policy);
    return Optional.empty();
  }

  private static void printVersion(PrintStream out) {
    String version = Main.class.getPackage().getImplementationVersion();
    out.println("astershift " + (version == null ? "(unpackaged)" : version));
  }

  private static void configureLogging(String level) throws ConfigurationException {
    String normalizedLevel =
        level == null || level.isEmpty() ? "info" : level.toLowerCase(Locale.ROOT);
    if (!Set.of("error", "info", "debug").contains(normalizedLevel)) {
      throw new ConfigurationException("LOG_LEVEL is not error, info or debug: " + level);
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", normalizedLevel);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }
}
