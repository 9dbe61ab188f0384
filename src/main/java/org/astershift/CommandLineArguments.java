package org.astershift;

import java.io.PrintStream;
import java.io.PrintWriter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The parsed command-line options of the program. */
final class CommandLineArguments {
  private final CommandLine commandLine;

  private CommandLineArguments(CommandLine commandLine) {
    this.commandLine = commandLine;
  }

  /**
   * Parses the options; throws for unknown ones. {@link #requireStartOptions} checks what a start
   * needs.
   */
  static CommandLineArguments parse(String[] args) throws ParseException {
    return new CommandLineArguments(new DefaultParser().parse(options(), args));
  }

  boolean isHelpRequested() {
    return commandLine.hasOption("help");
  }

  boolean isVersionRequested() {
    return commandLine.hasOption("version");
  }

  /** Returns whether the program is only to check the settings. */
  boolean isCheckRequested() {
    return commandLine.hasOption("check");
  }

  /** Throws if no settings file is given, or if there is an unexpected argument. */
  void requireStartOptions() throws ParseException {
    if (!commandLine.getArgList().isEmpty()) {
      throw new ParseException("unexpected argument: " + commandLine.getArgList().get(0));
    }
    if (!commandLine.hasOption("config")) {
      throw new ParseException("--config FILE is required");
    }
  }

  /** Returns the path of the settings file. */
  String configFile() {
    return commandLine.getOptionValue("config");
  }

  /**
   * Returns the path of the operators' settings file; {@code fallback} if the option is not given.
   */
  String iniFile(String fallback) {
    return commandLine.getOptionValue("ini", fallback);
  }

  static void printHelp(PrintStream out) {
    new HelpFormatter()
        .printHelp(
            new PrintWriter(out, true),
            80,
            "astershift [OPTION...] --config FILE",
            "",
            options(),
            2,
            2,
            "");
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(fileOption("config", "settings (TOML)"));
    options.addOption(fileOption("ini", "operators' own settings (INI); default: $ASTERSHIFT_INI"));
    options.addOption(null, "check", false, "check the settings and exit");
    options.addOption(null, "help", false, "print this and exit");
    options.addOption(null, "version", false, "print the version and exit");
    return options;
  }

  private static Option fileOption(String name, String description) {
    return Option.builder().longOpt(name).hasArg().argName("FILE").desc(description).build();
  }
}
