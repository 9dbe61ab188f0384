package org.astershift.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.JobKind;
import org.astershift.scheduler.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A submission is decoded, or rejected with the name of the invalid field. */
class JobCodecTest {
  private static final String VALID =
      "{\"id\":\"wk-000412\",\"berth_class\":\"train\",\"crew\":\"vision\",\"shape\":\"gang\","
          + "\"rank\":\"urgent\",\"shards\":16,\"vcpus\":8.0,\"gpus\":1.0,\"mem_gb\":64.0,"
          + "\"payload\":\"img-07\",\"image_gb\":6.2,\"hulls\":[\"g8\"],\"harbor\":null,"
          + "\"one_zone\":true,\"apart\":false,\"ebbtide\":true,\"expect_s\":240.0,"
          + "\"anchor_s\":30.0,\"stow_s\":4.0,\"due_s\":900.0,\"new\":{\"field\":[1]}}";

  private static JobSpec decode(String text) throws JsonFormatException {
    return JobCodec.decodeSpec(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void decodesProtocolExample() throws JsonFormatException {
    JobSpec spec = decode(VALID);
    assertEquals(JobKind.GANG, spec.kind());
    assertEquals(16, spec.tasks());
    assertEquals(900.0, spec.deadlineS());
    assertNull(spec.zone());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"shards\":16 | \"shards\":0 | shards is out of range",
        "\"shards\":16 | \"shards\":100001 | shards is out of range",
        "\"shards\":16 | \"shards\":1.5 | shards is missing or not a whole number",
        "\"shards\":16 | \"x\":16 | shards is missing or not a whole number",
        "wk-000412 | job 1 | id is not of the form wk-000000",
        "\"gang\" | \"heap\" | shape is invalid",
        "\"urgent\" | 7 | rank is missing or not a text",
        "\"vcpus\":8.0 | \"vcpus\":-1 | vcpus is out of range",
        "\"vcpus\":8.0 | \"vcpus\":\"8\" | vcpus is missing or not a number",
        "[\"g8\"] | [8] | hulls is not a list of texts",
        "\"due_s\":900.0 | \"due_s\":-1 | due_s is out of range",
        "\"one_zone\":true | \"one_zone\":1 | one_zone is missing or not true or false"
      })
  void errorNamesInvalidField(String original, String replacement, String message) {
    JsonFormatException error =
        assertThrows(JsonFormatException.class, () -> decode(VALID.replace(original, replacement)));
    assertEquals(message, error.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"[1] | not an object", "{\"a\": | not JSON", "'' | not JSON"})
  void rejectsBodiesThatAreNotObjects(String text, String message) {
    JsonFormatException error = assertThrows(JsonFormatException.class, () -> decode(text));
    assertEquals(message, error.getMessage());
  }
}
