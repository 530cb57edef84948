from skylarkpost.settings import Settings, load_settings

GOOD = """
[instance]
id = "entry-1"
data_centre = "windhoek-a"
address = "127.0.0.1"
http_port = 8001
peer_port = 9001
[platform]
log_url = "http://127.0.0.1:7001"
instance_list_url = "http://127.0.0.1:7002"
"""


def write(tmp_path, text):
    path = tmp_path / "instance.toml"
    path.write_text(text)
    return path


def test_a_good_file_loads(tmp_path):
    settings = load_settings(write(tmp_path, GOOD))
    assert isinstance(settings, Settings)
    assert settings.instance.http_port == 8001


def test_all_faults_are_reported_at_once_with_key_value_and_range(tmp_path):
    text = GOOD.replace("8001", "99999").replace("http://127.0.0.1:7001", "nowhere")
    text += "[requests]\ndeadlin = 3\ndeadline = 0.5\n"
    path = write(tmp_path, text)
    faults = load_settings(path)
    messages = "\n".join(str(fault) for fault in faults)
    assert f"{path}: instance.http_port = 99999" in messages
    assert "less than or equal to 65535" in messages
    assert "platform.log_url = 'nowhere'" in messages
    assert "requests.deadlin = 3" in messages
    assert "requests.deadline = 0.5" in messages


def test_a_file_that_is_absent_or_not_toml_is_one_fault(tmp_path):
    assert "cannot be read" in str(load_settings(tmp_path / "absent.toml")[0])
    assert "is not TOML" in str(load_settings(write(tmp_path, "[x"))[0])


def test_host_names_are_refused(tmp_path):
    text = GOOD.replace('address = "127.0.0.1"', 'address = "localhost"')
    assert "instance.address" in str(load_settings(write(tmp_path, text))[0])
